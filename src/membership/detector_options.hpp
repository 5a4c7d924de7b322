#pragma once

#include "base/time.hpp"

#include <chrono>

namespace damaskladder::membership {

/// Timeouts and intervals of the failure detector, all in the observer's active time.
struct detector_options {
    /// Time without a heartbeat after which a node is suspected. With one heartbeat per second, two
    /// may be lost.
    base::duration suspect_after = std::chrono::milliseconds(2'500);
    /// Time without a heartbeat after which the observer probes the node. At 20% message loss, a
    /// false suspicion then requires two lost heartbeats and about thirteen lost probe exchanges.
    base::duration probe_after = std::chrono::milliseconds(1'200);
    base::duration probe_interval = std::chrono::milliseconds(100);
    /// Interval at which an observer repeats its vote, because a vote may be lost.
    base::duration vote_interval = std::chrono::milliseconds(100);
    /// Maximum age at which the vote of another observer still counts.
    base::duration vote_validity = std::chrono::milliseconds(1'000);
    /// Time in suspicion after which a node that no other observer confirms to be alive is declared
    /// dead even without a majority: most of its observers may have failed with it.
    base::duration unconfirmed_after = std::chrono::seconds(10);
};

} // namespace damaskladder::membership
