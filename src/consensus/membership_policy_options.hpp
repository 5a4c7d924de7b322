#pragma once

#include "base/time.hpp"

#include <cstddef>

namespace damaskladder::consensus {

/// Settings of membership_policy.
struct membership_policy_options {
    /// No voter is removed unless so many others are heard: three bear the loss of one.
    std::size_t min_remaining_voters = 3;
    /// A voter heard within this time counts as there; ten heartbeats.
    base::duration live_voter_timeout = std::chrono::seconds(1);
    /// A member silent for longer is removed. Longer than a restart of its VM.
    base::duration removal_timeout = std::chrono::seconds(6);
    /// A request counts for this long; whoever still wants it repeats it.
    base::duration request_lifetime = std::chrono::seconds(2);
};

} // namespace damaskladder::consensus
