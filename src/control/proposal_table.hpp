#pragma once

#include "base/time.hpp"
#include "control/proposal.hpp"
#include "control/proposal_id.hpp"
#include "control/table_limits.hpp"
#include "settings/setting_path.hpp"

#include <deque>
#include <map>
#include <vector>

namespace damaskladder::control {

/// Pending proposals and the most recently closed ones.
class proposal_table {
public:
    using pending_container = std::map<proposal_id, proposal>;

    explicit proposal_table(const table_limits& closed_limits) : m_closed_limits(closed_limits) {}

    const proposal* find_pending(proposal_id id) const;
    const proposal* find_closed(proposal_id id) const;
    const pending_container& pending() const { return m_pending; }
    const std::deque<proposal>& closed() const { return m_closed; }

    /// Adds a pending proposal, or a closed one as the most recently closed.
    void insert(proposal added);
    void close(proposal_id id, proposal_state state, const base::operator_id& closed_by,
               const std::string& reason);

    /// Pending proposals whose lifetime has ended.
    std::vector<proposal_id> expired(base::wall_time now) const;
    /// Pending proposals of the versioned subtree "fleet" or "teams/TEAM".
    std::vector<proposal_id> pending_of(const settings::setting_path& versioned_root) const;

private:
    table_limits m_closed_limits;
    pending_container m_pending;
    std::deque<proposal> m_closed;
    base::byte_count m_closed_size;
};

} // namespace damaskladder::control
