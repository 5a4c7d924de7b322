#pragma once

#include "admission/route_pressure.hpp"
#include "daemon/log_rate_limiter.hpp"

namespace damaskladder::daemon {

/// Writes a log line when shedding at the root begins or ends for a route, at most one a second.
class shedding_log {
public:
    void operator()(const admission::route_pressure& route, bool began);

private:
    log_rate_limiter m_limiter{1};
};

} // namespace damaskladder::daemon
