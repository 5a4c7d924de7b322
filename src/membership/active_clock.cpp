#include "membership/active_clock.hpp"

#include <algorithm>

namespace damaskladder::membership {

base::duration active_clock::advance(base::time_point now)
{
    if (!m_started) {
        m_started = true;
        m_last = now;
    }
    const base::duration gap = std::max(now - m_last, base::duration::zero());
    m_elapsed += std::min(gap, m_max_step);
    m_last = std::max(m_last, now);
    return gap;
}

} // namespace damaskladder::membership
