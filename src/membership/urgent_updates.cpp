#include "membership/urgent_updates.hpp"

#include <utility>

namespace damaskladder::membership {

void urgent_updates::add(const member_record& record, const base::node_id& source)
{
    m_updates.insert_or_assign(record.node, update{record, source});
}

bool urgent_updates::is_due(base::time_point now) const
{
    return !m_updates.empty() && now >= m_next;
}

std::vector<urgent_updates::update> urgent_updates::take(base::time_point now)
{
    m_next = now + m_interval;
    std::vector<update> taken;
    taken.reserve(m_updates.size());
    for (auto& [node, next] : m_updates) {
        taken.push_back(std::move(next));
    }
    m_updates.clear();
    return taken;
}

} // namespace damaskladder::membership
