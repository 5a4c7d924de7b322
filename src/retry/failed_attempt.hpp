#pragma once

#include "base/time.hpp"
#include "retry/failure_class.hpp"

namespace damaskladder::retry {

/// An attempt that failed, as the retry decision sees it. Only the level nearest to the refusal
/// decides: answers of backend servers, whatever they say, are no failed attempts.
struct failed_attempt {
    failure_class kind = failure_class::permanent;
    bool idempotent = false;
    bool body_can_be_resent = false;
    /// Attempts so far, at least 1.
    int attempts = 1;
    /// Time left until the deadline.
    base::duration time_left{};
    /// Least time that another attempt needs.
    base::duration time_needed{};
};

} // namespace damaskladder::retry
