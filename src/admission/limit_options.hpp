#pragma once

#include "base/time.hpp"

#include <chrono>
#include <cstdint>

namespace damaskladder::admission {

/// Options of concurrency_limit. The baseline is the latency without queueing.
struct limit_options {
    /// Bounds of the limit as multiples of the announced slots; the limit is always at least 1.
    double min_factor = 0.1;
    double max_factor = 2.0;
    /// Fraction of its slots that a cold backend server starts with.
    double cold_factor = 0.1;
    /// Bounds of the averaging window. The window follows the latency, because answers show the
    /// effect of a change only one latency later.
    base::duration min_window{std::chrono::milliseconds(100)};
    base::duration max_window{std::chrono::milliseconds(500)};
    /// Minimum samples per window; the average of fewer exponential service times is noise.
    std::int64_t min_samples = 50;
    /// Latency above this multiple of the baseline means that calls queue inside the backend
    /// server.
    double high_latency_ratio = 1.3;
    /// Latency below this multiple of the baseline permits growth up to the announced slots.
    double low_latency_ratio = 1.15;
    /// Latency below this multiple of the baseline permits growth above the announced slots.
    double flat_latency_ratio = 1.12;
    /// The limit is reduced if the fraction of overloaded outcomes in a window exceeds this.
    double overload_fraction = 0.05;
};

} // namespace damaskladder::admission
