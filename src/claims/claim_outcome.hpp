#pragma once

#include "base/attempt_id.hpp"
#include "base/node_id.hpp"
#include "claims/claim_verdict.hpp"

namespace damaskladder::claims {

/// Effect for the traffic side; exactly one for each begin().
struct claim_outcome {
    base::attempt_id attempt;
    claim_verdict verdict = claim_verdict::not_available;
    /// For held_running and held_done: the gatekeeper that holds the claim.
    base::node_id holder;

    friend bool operator==(const claim_outcome&, const claim_outcome&) = default;
};

} // namespace damaskladder::claims
