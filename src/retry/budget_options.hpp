#pragma once

#include "base/time.hpp"

#include <chrono>

namespace damaskladder::retry {

/// Options of a retry budget.
struct budget_options {
    /// Retries permitted for each recent success.
    double retries_per_success = 0.1;
    /// Retries permitted without successes: this many at once, and as many again each second. They
    /// let a node with little traffic get past a backend server that has just gone.
    double min_retries_per_second = 5;
    /// Successes count for this long.
    base::duration decay_time{std::chrono::seconds(10)};
};

} // namespace damaskladder::retry
