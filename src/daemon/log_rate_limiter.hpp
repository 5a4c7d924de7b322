#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace damaskladder::daemon {

/// Bounds the log lines of one kind: so many at once, and as many again each second. What does not
/// fit is counted.
class log_rate_limiter {
public:
    explicit log_rate_limiter(std::int64_t lines_per_second)
        : m_lines_per_second(lines_per_second), m_left(lines_per_second)
    {
    }

    /// Whether a line may be written now.
    bool take(base::time_point now);

    /// Lines left out since this was last asked.
    std::uint64_t take_suppressed();

private:
    std::int64_t m_lines_per_second;
    std::int64_t m_left;
    base::time_point m_second;
    std::uint64_t m_suppressed = 0;
};

} // namespace damaskladder::daemon
