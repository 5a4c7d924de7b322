#pragma once

#include "base/time.hpp"

#include <chrono>

namespace damaskladder::membership {

/// Times of the failure detector, all in the observer's awake time.
struct detector_options {
    /// Silence after which a node is suspected. With heartbeats each second, two may be lost.
    base::duration suspect_after = std::chrono::milliseconds(2'500);
    /// Silence after which the observer asks the node itself for a heartbeat. A false suspicion
    /// at 20% loss then takes two lost heartbeats and some thirteen lost exchanges.
    base::duration probe_after = std::chrono::milliseconds(1'200);
    base::duration probe_interval = std::chrono::milliseconds(100);
    /// A suspecting observer repeats its vote, because the first one may be lost.
    base::duration vote_interval = std::chrono::milliseconds(100);
    /// Age up to which the vote of another observer counts.
    base::duration vote_validity = std::chrono::milliseconds(1'000);
    /// A suspected node that no observer vouches for is dead after this time even without a
    /// majority: most of its observers may have died with it.
    base::duration unconfirmed_after = std::chrono::seconds(10);
};

} // namespace damaskladder::membership
