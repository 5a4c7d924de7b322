#pragma once

#include "base/random_source.hpp"
#include "base/time.hpp"

#include <chrono>

namespace damaskladder::retry {

/// Options of the retry decision.
struct retry_options {
    /// Uniform random values; required.
    base::random_source random;
    /// Upper end of the first pause after a shed attempt; doubles with each attempt.
    base::duration initial_backoff{std::chrono::milliseconds(10)};
    base::duration max_backoff{std::chrono::milliseconds(200)};
};

} // namespace damaskladder::retry
