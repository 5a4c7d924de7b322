#pragma once

#include "base/time.hpp"

#include <cstddef>

namespace damaskladder::claims {

/// Timing and limits of a claim_client.
struct claim_options {
    /// Reserved before the deadline for the return of a refusal.
    base::duration deadline_reserve = std::chrono::milliseconds(5);
    /// An unanswered submission is resent after this delay, which doubles up to the maximum, with
    /// jitter.
    base::duration initial_resend_delay = std::chrono::milliseconds(100);
    base::duration max_resend_delay = std::chrono::milliseconds(2'000);
    /// Releases and completions are resent for this time, which is the retention of ids in the log.
    base::duration report_retention = std::chrono::minutes(10);
    /// The record of a released attempt is kept this long after the log's answer, because a
    /// duplicate of its claim may still be in flight.
    base::duration released_retention = std::chrono::seconds(60);
    /// Limit on the attempts with a record. Above it, begin() gives the outcome not_available.
    std::size_t max_attempts = 16'384;
};

} // namespace damaskladder::claims
