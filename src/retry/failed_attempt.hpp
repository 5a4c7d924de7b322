#pragma once

#include "base/time.hpp"
#include "retry/failure_class.hpp"

namespace damaskladder::retry {

/// Input of the retry decision. Only the level of the call graph next to the refusal retries: an
/// answer of a backend server, whatever its status, is not a failed attempt.
struct failed_attempt {
    failure_class kind = failure_class::permanent;
    bool idempotent = false;
    bool body_can_be_resent = false;
    /// Attempts made so far; at least 1.
    int attempts = 1;
    /// Time left until the deadline.
    base::duration time_left{};
    /// Minimum time that another attempt needs.
    base::duration time_needed{};
};

} // namespace damaskladder::retry
