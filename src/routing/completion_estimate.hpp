#pragma once

#include "base/time.hpp"

namespace damaskladder::routing {

/// Expected completion of one more call at a backend server.
struct completion_estimate {
    /// Typical run time of a call there.
    base::duration run_time{};
    /// Number of calls that may run there concurrently, reduced during slow start and for ejected
    /// servers.
    double capacity = 1;
    /// Running and queued calls including the new one, divided by the capacity.
    double relative_load = 0;

    /// Factor by which load prolongs a call: waiting calls, and the slowdown near the limit.
    double slowdown() const;
    base::duration completion() const;
    /// Calls that the server can complete per microsecond.
    double throughput() const;
};

} // namespace damaskladder::routing
