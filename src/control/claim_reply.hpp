#pragma once

#include "base/attempt_id.hpp"
#include "base/node_id.hpp"
#include "control/claim_verdict.hpp"

namespace damaskladder::control {

/// Reply to a claim request, release or completion.
struct claim_reply {
    claim_verdict verdict = claim_verdict::malformed;
    /// Attempt that holds or completed the claim, and its node; set with held and done.
    base::attempt_id holder;
    base::node_id node;

    friend bool operator==(const claim_reply&, const claim_reply&) = default;
};

} // namespace damaskladder::control
