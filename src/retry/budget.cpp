#include "retry/budget.hpp"

#include <algorithm>
#include <cmath>

namespace damaskladder::retry {

budget::budget(budget_options options) : m_options(options), m_floor_left(options.floor) {}

void budget::success(base::time_point now)
{
    advance(now);
    m_earned += m_options.part_of_successes;
}

bool budget::try_spend(base::time_point now)
{
    advance(now);
    double& source = m_earned >= 1 ? m_earned : m_floor_left;
    if (source < 1) {
        return false;
    }
    source -= 1;
    return true;
}

void budget::advance(base::time_point now)
{
    const auto passed = static_cast<double>((now - m_at).count());
    if (passed <= 0) {
        return;
    }
    m_at = now;
    m_earned *= std::exp(-passed / static_cast<double>(m_options.recent.count()));
    const double second = 1'000'000;
    // A floor of less than one a second still has to add up to one.
    const double most = m_options.floor > 0 ? std::max(1.0, m_options.floor) : 0;
    m_floor_left = std::min(most, m_floor_left + m_options.floor * passed / second);
}

} // namespace damaskladder::retry
