#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace damaskladder::daemon {

/// Limits the rate of one kind of log line: up to lines_per_second lines in each second. Suppressed
/// lines are counted.
class log_rate_limiter {
public:
    explicit log_rate_limiter(std::int64_t lines_per_second)
        : m_lines_per_second(lines_per_second), m_left(lines_per_second)
    {
    }

    /// Returns whether a line may be written now; counts it as suppressed if not.
    bool take(base::time_point now);

    /// Returns the number of suppressed lines since the last call and resets it.
    std::uint64_t take_suppressed();

private:
    std::int64_t m_lines_per_second;
    std::int64_t m_left;
    base::time_point m_second;
    std::uint64_t m_suppressed = 0;
};

} // namespace damaskladder::daemon
