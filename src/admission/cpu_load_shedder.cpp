#include "admission/cpu_load_shedder.hpp"

#include <algorithm>

namespace damaskladder::admission {

void cpu_load_shedder::record(base::duration busy, base::duration idle, base::time_point now)
{
    m_busy += busy;
    m_idle += idle;
    if (now - m_window_start < m_options.window) {
        return;
    }
    const auto total = static_cast<double>((m_busy + m_idle).count());
    const double utilization = total > 0 ? static_cast<double>(m_busy.count()) / total : 0;
    if (utilization > m_options.high_utilization) {
        m_shed_fraction =
            std::min(m_options.max_shed_fraction, m_shed_fraction + m_options.increase_step);
    }
    else if (utilization < m_options.low_utilization) {
        m_shed_fraction = std::max(0.0, m_shed_fraction - m_options.decrease_step);
    }
    m_busy = {};
    m_idle = {};
    m_window_start = now;
}

bool cpu_load_shedder::should_shed(base::importance level, double draw) const
{
    // Each level above the least starts when the one below has lost half of its requests.
    constexpr double step = 0.5;
    const auto levels_above_low =
        level <= base::importance::low
            ? 0.0
            : static_cast<double>(level) - static_cast<double>(base::importance::low);
    const double start_threshold = step * levels_above_low / (1 + step * levels_above_low);
    const double fraction = (m_shed_fraction - start_threshold) / (1 - start_threshold);
    return draw < fraction;
}

} // namespace damaskladder::admission
