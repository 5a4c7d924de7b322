#pragma once

#include "base/clock_drift.hpp"
#include "base/time.hpp"

namespace damaskladder::lease {

/// Timing of one leased resource. Voters and candidates must use equal length and drift.
struct lease_options {
    /// How long a voter keeps a grant, on its own clock.
    base::duration lease_duration = std::chrono::seconds(3);
    /// Bound on the rate error of every clock.
    base::clock_drift drift = base::clock_drift(1'000);
    /// A holder renews this long after its last round of asks.
    base::duration renew_interval = std::chrono::milliseconds(750);
    /// A candidate abandons a round of asks that has no majority after this time.
    base::duration request_timeout = std::chrono::milliseconds(250);
    /// Back-off after an abandoned round, doubled at each failure up to 16 times, with jitter.
    base::duration initial_backoff = std::chrono::milliseconds(20);
    /// Longest wait between two attempts while another candidate holds the lease.
    base::duration poll_interval = std::chrono::milliseconds(500);

    /// How long a candidate holds, on its own clock, from the time its asks were sent.
    base::duration hold_time() const { return drift.shortened(lease_duration); }
    /// How long a voter abstains after its start.
    base::duration abstain_time() const { return drift.lengthened(lease_duration); }
};

} // namespace damaskladder::lease
