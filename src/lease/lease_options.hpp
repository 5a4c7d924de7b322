#pragma once

#include "base/clock_drift.hpp"
#include "base/time.hpp"

namespace damaskladder::lease {

/// Timing of one leased resource. Voters and candidates must use equal lease_duration and drift.
struct lease_options {
    /// Validity of a grant on the voter's clock.
    base::duration lease_duration = std::chrono::seconds(3);
    /// Maximum rate error of every clock.
    base::clock_drift drift = base::clock_drift(1'000);
    /// Time from a holder's last round of requests to the next renewal.
    base::duration renew_interval = std::chrono::milliseconds(750);
    /// Time after which a candidate abandons a round of requests without a majority.
    base::duration request_timeout = std::chrono::milliseconds(250);
    /// Backoff after an abandoned round, with jitter; doubled at each failure up to 16 times the
    /// initial value.
    base::duration initial_backoff = std::chrono::milliseconds(20);
    /// Maximum wait between two attempts while another candidate holds the lease, without jitter.
    base::duration poll_interval = std::chrono::milliseconds(500);
    /// Time after lease_candidate::on_holder_notice() for which a candidate does not start to
    /// request the lease; zero for none. Longer than the interval of the notices and shorter than
    /// the lease, so that candidates ask again before the lease of a lost holder ends.
    base::duration quiet_after_notice{0};

    /// Duration of a hold on the candidate's clock, from the time its requests were sent.
    base::duration hold_time() const { return drift.shortened(lease_duration); }
    /// Time for which a voter abstains after its start.
    base::duration abstain_time() const { return drift.lengthened(lease_duration); }
};

} // namespace damaskladder::lease
