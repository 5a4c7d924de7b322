#pragma once

#include "base/time.hpp"

#include <chrono>
#include <cstdint>

namespace damaskladder::settings {

/// Limits that a team sets for its keys and services.
struct team_limits {
    /// A node whose settings may be older refuses requests with this team's keys. A longer time
    /// delays the withdrawal of keys in a failure domain that is cut off.
    base::duration max_staleness = std::chrono::seconds(10);
    /// Requests that may wait at the gatekeeper of a backend server.
    std::int64_t max_queue = 1'000;
    /// Time over which the load of a newly started backend server is increased to its full share.
    base::duration slow_start = std::chrono::seconds(10);
    /// Time for which a failing backend server is sent no requests.
    base::duration ejection = std::chrono::seconds(5);
    /// Backend servers of a service that may be ejected at the same time, in percent.
    std::int32_t max_ejected_percent = 30;
};

} // namespace damaskladder::settings
