#pragma once

#include <chrono>
#include <cstdint>

namespace damaskladder::base {

/// Monotonic clock of one process. Decision logic takes the time as an argument instead of reading
/// a clock.
struct monotonic_clock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

/// Wall-clock time in UTC. Only for audit records, log lines and the age of request ids.
struct wall_clock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<wall_clock>;
    static constexpr bool is_steady = false;
};

using duration = monotonic_clock::duration;
using time_point = monotonic_clock::time_point;
using wall_time = wall_clock::time_point;

} // namespace damaskladder::base
