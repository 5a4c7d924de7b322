#pragma once

#include "base/clock_drift.hpp"
#include "base/time.hpp"
#include "quota/workspace_quota.hpp"

#include <cstddef>

namespace damaskladder::quota {

/// Timing and limits. Nodes and holders must use the same drift.
struct quota_options {
    /// Upper bound on the rate error of every clock.
    base::clock_drift drift = base::clock_drift(1'000);
    /// Nodes and holders prefetch enough tokens for this time at the recent rate of use.
    base::duration prefetch_window = std::chrono::milliseconds(200);
    /// A node returns its tokens when it has used none for this time.
    base::duration idle_time = std::chrono::milliseconds(400);
    /// A node reports use within this time.
    base::duration report_interval = std::chrono::milliseconds(200);
    /// A node asks again when its holder has not answered within this time.
    base::duration borrow_timeout = std::chrono::milliseconds(60);
    /// A request waits for tokens at most this long, and not beyond its deadline.
    base::duration max_wait = std::chrono::milliseconds(100);
    /// Bounds on the time for which a node refuses requests before it asks its holder again.
    base::duration min_retry_after = std::chrono::milliseconds(5);
    base::duration max_retry_after = std::chrono::milliseconds(1'000);
    /// A holder waits this long for the answers of other domains' holders.
    base::duration peer_timeout = std::chrono::milliseconds(15);
    /// A holder that cannot meet a demand delays the answer for at most this time, while it waits
    /// for accrual or requests tokens from other domains.
    base::duration accrual_wait = std::chrono::milliseconds(40);
    /// No tokens are requested for this time from a holder that did not answer.
    base::duration peer_backoff = std::chrono::milliseconds(250);
    /// Longest time for which the lender counts a transfer in its own bound.
    base::duration transfer_lifetime = std::chrono::milliseconds(2'000);
    /// Unabsorbed tokens of another domain that are not needed are returned after this time.
    base::duration transfer_idle_time = std::chrono::milliseconds(200);
    /// A transfer that was not acknowledged is resent after this time.
    base::duration transfer_resend = std::chrono::milliseconds(50);
    /// Delay before a larger share takes effect. Longer than the time until settings are in force
    /// everywhere (4 s) plus the length of a lease (3 s).
    base::duration share_increase_delay = std::chrono::seconds(10);
    /// Limit on the requests of one workspace that wait for tokens at one node.
    std::size_t max_waiting = 4'096;

    /// Time of use to prefetch for. Prefetched tokens are at most an eighth of the burst at the
    /// full rate, because unused tokens at one node are not available to others.
    base::duration prefetch_time(const workspace_quota& quota) const
    {
        return std::min(prefetch_window, time_for(tokens(quota.burst.value() / 8), quota.rate));
    }
};

} // namespace damaskladder::quota
