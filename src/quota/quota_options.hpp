#pragma once

#include "base/clock_drift.hpp"
#include "base/time.hpp"
#include "quota/workspace_quota.hpp"

#include <cstddef>

namespace damaskladder::quota {

/// Timing and limits. Nodes and holders must use equal drift.
struct quota_options {
    /// Bound on the rate error of every clock.
    base::clock_drift drift = base::clock_drift(1'000);
    /// A node or holder keeps tokens ahead of demand for this time of its recent use.
    base::duration prefetch_window = std::chrono::milliseconds(200);
    /// A node gives its tokens back when it has not used any for this time.
    base::duration idle_time = std::chrono::milliseconds(400);
    /// A node reports use at the latest after this time.
    base::duration report_interval = std::chrono::milliseconds(200);
    /// A node asks again when its holder has not answered within this time.
    base::duration borrow_timeout = std::chrono::milliseconds(60);
    /// A request waits for tokens at most this long, and no longer than its deadline.
    base::duration max_wait = std::chrono::milliseconds(100);
    /// Shortest and longest time for which a node refuses without asking again.
    base::duration min_retry_after = std::chrono::milliseconds(5);
    base::duration max_retry_after = std::chrono::milliseconds(1'000);
    /// A holder waits this long for the answers of other domains' holders.
    base::duration peer_timeout = std::chrono::milliseconds(15);
    /// A holder keeps an ask that it cannot meet yet, and asks other domains, for at most this
    /// time.
    base::duration accrual_wait = std::chrono::milliseconds(40);
    /// A holder that did not answer is not asked again for this time.
    base::duration peer_backoff = std::chrono::milliseconds(250);
    /// Longest time for which the lender counts a transfer in its own bound.
    base::duration transfer_lifetime = std::chrono::milliseconds(2'000);
    /// Tokens of another domain that are not needed are returned after this time.
    base::duration transfer_idle_time = std::chrono::milliseconds(200);
    /// A transfer that was not acknowledged is sent again after this time.
    base::duration transfer_resend = std::chrono::milliseconds(50);
    /// A larger share is used only after this time: longer than settings take to be in force
    /// everywhere (4 s) plus a lease (3 s).
    base::duration share_increase_delay = std::chrono::seconds(10);
    /// Requests of one workspace that wait for tokens at one node.
    std::size_t max_waiting = 4'096;

    /// Time of use to keep ahead: at most an eighth of the burst at full rate, because tokens that
    /// lie ahead of demand on one node are missing elsewhere.
    base::duration prefetch_time(const workspace_quota& quota) const
    {
        return std::min(prefetch_window, time_for(tokens(quota.burst.value() / 8), quota.rate));
    }
};

} // namespace damaskladder::quota
