#include "membership/endings_recovery.hpp"

#include <algorithm>

namespace damaskladder::membership {

std::vector<base::node_id> endings_recovery::due(const std::vector<base::node_id>& observers,
                                                 base::time_point now)
{
    std::vector<base::node_id> receivers;
    if (now.time_since_epoch() >= m_options.query_time) {
        return receivers;
    }
    for (const base::node_id& observer : observers) {
        base::time_point& next = m_next_query[observer];
        if (now >= next && !m_answered.contains(observer)) {
            next = now + m_options.query_interval;
            receivers.push_back(observer);
        }
    }
    return receivers;
}

void endings_recovery::update(const std::vector<base::node_id>& observers, base::time_point now)
{
    if (!m_met_others_at && !observers.empty()) {
        m_met_others_at = now;
    }
    if (m_complete) {
        return;
    }
    const auto answers =
        std::count_if(observers.begin(), observers.end(),
                      [&](const base::node_id& observer) { return m_answered.contains(observer); });
    const bool is_majority = static_cast<std::size_t>(answers) > observers.size() / 2;
    const bool is_cut_off = m_met_others_at && now - *m_met_others_at >= m_options.majority_wait;
    m_complete = is_majority || is_cut_off || is_alone(now);
}

} // namespace damaskladder::membership
