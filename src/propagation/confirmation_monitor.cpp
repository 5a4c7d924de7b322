#include "propagation/confirmation_monitor.hpp"

namespace damaskladder::propagation {

confirmation_monitor::report
confirmation_monitor::update(const std::optional<base::duration>& staleness, base::time_point now)
{
    if (!m_started) {
        m_started = now;
    }
    if (staleness.value_or(now - *m_started) <= m_limit) {
        const bool was_unconfirmed = m_next_repeat.has_value();
        m_next_repeat.reset();
        return was_unconfirmed ? report::confirmed : report::none;
    }
    if (m_next_repeat && now < *m_next_repeat) {
        return report::none;
    }
    m_next_repeat = now + m_repeat_interval;
    return report::unconfirmed;
}

} // namespace damaskladder::propagation
