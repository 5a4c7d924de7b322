#pragma once

#include "base/time.hpp"

#include <chrono>

namespace damaskladder::retry {

struct budget_options {
    /// Retries earned per success.
    double retries_per_success = 0.1;
    /// Retries permitted without successes: both the burst size and the refill rate per second.
    /// They let a node with little traffic retry after a backend server has just become
    /// unavailable.
    double min_retries_per_second = 5;
    /// Time constant of the exponential decay of earned retries.
    base::duration decay_time{std::chrono::seconds(10)};
};

} // namespace damaskladder::retry
