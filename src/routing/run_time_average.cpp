#include "routing/run_time_average.hpp"

#include <algorithm>
#include <cmath>

namespace damaskladder::routing {

void run_time_average::add(base::duration run_time, base::time_point now)
{
    const auto age = static_cast<double>((now - m_updated).count());
    const double decay = std::exp(-std::max(0.0, age) / static_cast<double>(lifetime.count()));
    m_updated = now;
    m_sum_us = m_sum_us * decay + static_cast<double>(run_time.count());
    m_weight = m_weight * decay + 1;
}

base::duration run_time_average::typical() const
{
    return m_weight == 0 ? base::duration::zero()
                         : base::duration(std::llround(m_sum_us / m_weight));
}

} // namespace damaskladder::routing
