#include "daemon/log_rate_limiter.hpp"

#include <utility>

namespace damaskladder::daemon {

bool log_rate_limiter::take(base::time_point now)
{
    if (now - m_second >= std::chrono::seconds(1)) {
        m_second = now;
        m_left = m_lines_per_second;
    }
    if (m_left == 0) {
        ++m_suppressed;
        return false;
    }
    --m_left;
    return true;
}

std::uint64_t log_rate_limiter::take_suppressed()
{
    return std::exchange(m_suppressed, 0);
}

} // namespace damaskladder::daemon
