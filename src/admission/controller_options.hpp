#pragma once

#include "admission/limit_options.hpp"
#include "base/share_weight.hpp"
#include "base/time.hpp"

#include <chrono>
#include <cstdint>

namespace damaskladder::admission {

struct controller_options {
    limit_options limit;
    /// Maximum queueing time. A longer queue serves no call sooner, and delays the refusal after
    /// which a request can try another backend server.
    base::duration max_wait{std::chrono::milliseconds(250)};
    /// Maximum queue length regardless of the backend server's speed; bounds memory.
    std::int64_t max_queued = 4096;
    /// Maximum number of calls queued ahead while no latency is known, as a multiple of the limit.
    double unmeasured_queue_factor = 1.0;
    /// Weight of the pseudo workspace of open routes.
    base::share_weight open_weight{1};
    /// Fraction of the limit that calls of open routes can occupy, so that anonymous callers, which
    /// have no rate limit, cannot take all slots.
    double max_open_fraction = 0.9;
};

} // namespace damaskladder::admission
