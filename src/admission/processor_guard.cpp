#include "admission/processor_guard.hpp"

#include <algorithm>

namespace damaskladder::admission {

void processor_guard::observed(base::duration busy, base::duration waited, base::time_point now)
{
    m_busy += busy;
    m_waited += waited;
    if (now - m_window_start < m_options.window) {
        return;
    }
    const auto whole = static_cast<double>((m_busy + m_waited).count());
    const double use = whole > 0 ? static_cast<double>(m_busy.count()) / whole : 0;
    if (use > m_options.high_use) {
        m_shed_part = std::min(m_options.most_shed, m_shed_part + m_options.growth);
    }
    else if (use < m_options.low_use) {
        m_shed_part = std::max(0.0, m_shed_part - m_options.fall);
    }
    m_busy = {};
    m_waited = {};
    m_window_start = now;
}

bool processor_guard::sheds(base::importance level, double draw) const
{
    // Each level above the least starts when the one below has lost half of its requests.
    constexpr double step = 0.5;
    const auto above =
        level <= base::importance::low
            ? 0.0
            : static_cast<double>(level) - static_cast<double>(base::importance::low);
    const double kept_before = step * above / (1 + step * above);
    const double part = (m_shed_part - kept_before) / (1 - kept_before);
    return draw < part;
}

} // namespace damaskladder::admission
