#pragma once

#include "base/time.hpp"
#include "membership/membership_limits.hpp"

#include <chrono>

namespace damaskladder::membership {

/// Times of the exchange between failure domains.
struct domain_options {
    /// Between hellos of a relay to the relays of each other failure domain.
    base::duration hello_interval = std::chrono::seconds(1);
    /// Between messages of a node to its relays about what it wants.
    base::duration subscribe_interval = std::chrono::seconds(5);
    /// Least time between two full summaries for one receiver.
    base::duration summary_interval = std::chrono::seconds(3);
    /// Silence after which a failure domain counts as unreachable. Its entries are kept.
    base::duration unreachable_after = std::chrono::seconds(5);
    /// Silence of all its relays after which a node counts every other failure domain as
    /// unreachable; three lost answers.
    base::duration relays_timeout = std::chrono::seconds(16);
    /// Silence after which the entries are dropped. Longer than the hour for which regions lose
    /// each other now and then.
    base::duration remove_after = std::chrono::hours(2);
    base::duration tombstone_retention = std::chrono::minutes(10);
    membership_limits limits;
};

} // namespace damaskladder::membership
