#pragma once

#include "base/time.hpp"

#include <cstddef>

namespace damaskladder::consensus {

/// Options of membership_policy.
struct membership_policy_options {
    /// A voter is removed only if at least this many live voters remain: twice the number of losses
    /// that the cluster has to bear at once, plus one.
    std::size_t min_remaining_voters = 3;
    /// A voter is live if it was heard within this time, which is ten heartbeats. One that is not
    /// is removed if a learner can take its place.
    base::duration live_voter_timeout = std::chrono::seconds(1);
    /// A member without a successor that is silent for longer is removed. Must be longer than a
    /// restart of its VM.
    base::duration removal_timeout = std::chrono::seconds(6);
    /// A join or leave request expires after this time unless it is repeated.
    base::duration request_lifetime = std::chrono::seconds(2);
    /// A refused change is not requested again before this time has passed.
    base::duration refusal_backoff = std::chrono::seconds(1);
};

} // namespace damaskladder::consensus
