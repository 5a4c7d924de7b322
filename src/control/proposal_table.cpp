#include "control/proposal_table.hpp"

#include "control/row_size.hpp"

#include <utility>

namespace damaskladder::control {

const proposal* proposal_table::find_pending(proposal_id id) const
{
    auto found = m_pending.find(id);
    return found == m_pending.end() ? nullptr : &found->second;
}

const proposal* proposal_table::find_closed(proposal_id id) const
{
    for (const auto& entry : m_closed) {
        if (entry.id == id) {
            return &entry;
        }
    }
    return nullptr;
}

void proposal_table::insert(proposal added)
{
    if (added.state == proposal_state::pending) {
        auto id = added.id;
        m_pending.insert_or_assign(id, std::move(added));
        return;
    }
    m_closed_size += row_size(added);
    m_closed.push_back(std::move(added));
    while (m_closed_limits.exceeded_by(m_closed.size(), m_closed_size)) {
        m_closed_size -= row_size(m_closed.front());
        m_closed.pop_front();
    }
}

void proposal_table::close(proposal_id id, proposal_state state, const base::operator_id& closed_by,
                           const std::string& reason)
{
    auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        return;
    }
    auto closing = std::move(found->second);
    m_pending.erase(found);
    closing.state = state;
    closing.closed_by = closed_by;
    closing.reason = reason;
    insert(std::move(closing));
}

std::vector<proposal_id> proposal_table::expired(base::wall_time now) const
{
    std::vector<proposal_id> ids;
    for (const auto& [id, entry] : m_pending) {
        if (entry.expires <= now) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<proposal_id>
proposal_table::pending_of(const settings::setting_path& versioned_root) const
{
    std::vector<proposal_id> ids;
    for (const auto& [id, entry] : m_pending) {
        if (entry.subtree.versioned_root() == versioned_root) {
            ids.push_back(id);
        }
    }
    return ids;
}

} // namespace damaskladder::control
