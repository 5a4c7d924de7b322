#include "routing/weighted_round_robin.hpp"

#include <algorithm>

namespace damaskladder::routing {

base::service_id weighted_round_robin::next(const std::vector<settings::split_part>& parts)
{
    if (parts != m_parts) {
        m_parts = parts;
        m_credits.assign(parts.size(), 0);
    }
    std::int64_t sum = 0;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        m_credits[i] += parts[i].weight.value();
        sum += parts[i].weight.value();
    }
    const auto chosen = std::max_element(m_credits.begin(), m_credits.end());
    *chosen -= sum;
    return parts[static_cast<std::size_t>(chosen - m_credits.begin())].service;
}

} // namespace damaskladder::routing
