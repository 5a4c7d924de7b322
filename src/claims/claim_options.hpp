#pragma once

#include "base/time.hpp"

#include <cstddef>

namespace damaskladder::claims {

/// Timing and limits of a claim_client.
struct claim_options {
    /// Kept free at the end of the deadline, for the way back of a refusal.
    base::duration deadline_reserve = std::chrono::milliseconds(5);
    /// An unanswered submission is sent again after this time, doubled each time up to the longest,
    /// with jitter.
    base::duration initial_resend_delay = std::chrono::milliseconds(100);
    base::duration max_resend_delay = std::chrono::milliseconds(2'000);
    /// Releases and completions are sent again for this time: the retention of ids in the log.
    base::duration report_retention = std::chrono::minutes(10);
    /// An attempt that was released is remembered this long after the log's answer, because a copy
    /// of its claim may still be on the way.
    base::duration released_retention = std::chrono::seconds(60);
    /// Attempts known at a time. begin() answers not_available beyond.
    std::size_t max_attempts = 16'384;
};

} // namespace damaskladder::claims
