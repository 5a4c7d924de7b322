#include "routing/weighted_rotation.hpp"

#include <algorithm>

namespace damaskladder::routing {

base::service_id weighted_rotation::next(const std::vector<settings::split_part>& parts)
{
    if (parts != m_parts) {
        m_parts = parts;
        m_credit.assign(parts.size(), 0);
    }
    std::int64_t sum = 0;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        m_credit[i] += parts[i].weight.value();
        sum += parts[i].weight.value();
    }
    const auto chosen = std::max_element(m_credit.begin(), m_credit.end());
    *chosen -= sum;
    return parts[static_cast<std::size_t>(chosen - m_credit.begin())].service;
}

} // namespace damaskladder::routing
