#pragma once

#include "base/random_source.hpp"
#include "base/time.hpp"

#include <chrono>

namespace damaskladder::retry {

struct retry_options {
    /// Source of uniform random values; required.
    base::random_source random;
    /// Upper bound of the first random backoff after a shed attempt; doubles with each attempt.
    base::duration initial_backoff{std::chrono::milliseconds(10)};
    base::duration max_backoff{std::chrono::milliseconds(200)};
};

} // namespace damaskladder::retry
