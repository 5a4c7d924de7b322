#include "membership/refutation_timer.hpp"

#include <algorithm>
#include <chrono>

namespace damaskladder::membership {

namespace {

constexpr base::duration initial_delay = std::chrono::seconds(1);
/// The delay is reset after this time without a refutation.
constexpr base::duration backoff_reset_time = std::chrono::seconds(60);

} // namespace

void refutation_timer::schedule(base::time_point now)
{
    if (m_due.has_value()) {
        return;
    }
    if (!m_refuted || now - m_last > backoff_reset_time) {
        m_delay = base::duration::zero();
    }
    m_due = now + m_delay;
}

bool refutation_timer::take_due(base::time_point now)
{
    if (!m_due.has_value() || now < *m_due) {
        return false;
    }
    m_due.reset();
    m_delay = std::clamp(m_delay * 2, initial_delay, m_max_delay);
    m_last = now;
    m_refuted = true;
    return true;
}

} // namespace damaskladder::membership
