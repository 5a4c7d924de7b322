#include "retry/budget.hpp"

#include <algorithm>
#include <cmath>

namespace damaskladder::retry {

budget::budget(budget_options options)
    : m_options(options), m_floor_retries(options.min_retries_per_second)
{
}

void budget::on_success(base::time_point now)
{
    advance(now);
    m_earned_retries += m_options.retries_per_success;
}

bool budget::try_spend(base::time_point now)
{
    advance(now);
    double& source = m_earned_retries >= 1 ? m_earned_retries : m_floor_retries;
    if (source < 1) {
        return false;
    }
    source -= 1;
    return true;
}

void budget::advance(base::time_point now)
{
    const auto elapsed = static_cast<double>((now - m_at).count());
    if (elapsed <= 0) {
        return;
    }
    m_at = now;
    m_earned_retries *= std::exp(-elapsed / static_cast<double>(m_options.decay_time.count()));
    const double us_per_second = 1'000'000;
    // A rate below 1 per second must still accumulate to one retry.
    const double capacity =
        m_options.min_retries_per_second > 0 ? std::max(1.0, m_options.min_retries_per_second) : 0;
    m_floor_retries = std::min(capacity, m_floor_retries + m_options.min_retries_per_second *
                                                               elapsed / us_per_second);
}

} // namespace damaskladder::retry
