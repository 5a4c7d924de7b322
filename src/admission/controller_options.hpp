#pragma once

#include "admission/limit_options.hpp"
#include "base/share_weight.hpp"
#include "base/time.hpp"

#include <chrono>
#include <cstdint>

namespace damaskladder::admission {

/// Options of a controller.
struct controller_options {
    limit_options limit;
    /// Longest wait. Longer queues serve nobody sooner, and delay the refusal that lets a request
    /// go elsewhere.
    base::duration max_wait{std::chrono::milliseconds(250)};
    /// Bound of the queue whatever the backend server's speed, for memory.
    std::int64_t max_queued = 4096;
    /// Queue permitted while no latency is known, as a multiple of the limit.
    double unmeasured_queue_factor = 1.0;
    /// Weight of the pseudo workspace of open routes.
    base::share_weight open_weight{1};
    /// Part of the slots that calls of open routes can hold, so that unknown callers without a
    /// rate cannot take all of them.
    double max_open_fraction = 0.9;
};

} // namespace damaskladder::admission
