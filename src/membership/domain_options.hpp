#pragma once

#include "base/time.hpp"
#include "membership/membership_limits.hpp"

#include <chrono>

namespace damaskladder::membership {

/// Intervals, timeouts and limits of the exchange between failure domains.
struct domain_options {
    /// Interval between hellos of a relay to the relays of each other failure domain.
    base::duration hello_interval = std::chrono::seconds(1);
    /// Interval between subscribe messages of a node to its relays.
    base::duration subscribe_interval = std::chrono::seconds(5);
    /// Minimum time between two full summaries of a failure domain to the same receiver.
    base::duration summary_interval = std::chrono::seconds(3);
    /// Time without contact after which a relay treats a failure domain as unreachable. Its entries
    /// are kept.
    base::duration unreachable_after = std::chrono::seconds(5);
    /// Time without an answer from any of its relays after which a node treats every other failure
    /// domain as unreachable; three answers must be lost.
    base::duration relays_timeout = std::chrono::seconds(16);
    /// Time without contact after which the entries of a failure domain are removed. Must exceed
    /// the hour for which regions occasionally lose their connection to each other.
    base::duration remove_after = std::chrono::hours(2);
    base::duration tombstone_retention = std::chrono::minutes(10);
    membership_limits limits;
};

} // namespace damaskladder::membership
