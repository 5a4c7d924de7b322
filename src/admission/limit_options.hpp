#pragma once

#include "base/time.hpp"

#include <chrono>
#include <cstdint>

namespace damaskladder::admission {

/// Options of a concurrency limit.
struct limit_options {
    /// The limit stays between these multiples of the announced slots, and is at least 1.
    double min_factor = 0.1;
    double max_factor = 2.0;
    /// A cold backend server starts with this part of its slots.
    double cold_factor = 0.1;
    /// Shortest time over which latencies are averaged. It grows with the latency up to
    /// max_window, because answers show the effect of a change only one latency later.
    base::duration min_window{std::chrono::milliseconds(100)};
    base::duration max_window{std::chrono::milliseconds(500)};
    /// Fewest samples of a window; with fewer the average of exponential service times is noise.
    std::int64_t min_samples = 50;
    /// Latency above this multiple of the undisturbed one means calls wait in the backend server.
    double high_latency_ratio = 1.3;
    /// Latency below this multiple permits growth up to the announced slots.
    double low_latency_ratio = 1.15;
    /// Latency below this multiple permits growth above the announced slots.
    double flat_latency_ratio = 1.12;
    /// Part of overloaded outcomes in a window from which the limit falls.
    double overload_fraction = 0.05;
};

} // namespace damaskladder::admission
