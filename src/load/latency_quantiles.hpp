#pragma once

#include "base/time.hpp"
#include "load/request_count.hpp"

namespace damaskladder::load {

/// Latencies of successful requests, from the intended send time to the last byte of the response.
struct latency_quantiles {
    request_count count;
    base::duration p50{0};
    base::duration p90{0};
    base::duration p99{0};
    base::duration p999{0};
    base::duration max{0};
};

} // namespace damaskladder::load
