#pragma once

#include "base/attempt_id.hpp"
#include "base/node_id.hpp"
#include "claims/claim_status.hpp"

namespace damaskladder::claims {

/// Reply of the log to a claim.
struct claim_reply {
    base::attempt_id attempt;
    claim_status status = claim_status::too_old;
    /// For held_running and held_done: the gatekeeper that holds the claim.
    base::node_id holder;

    friend bool operator==(const claim_reply&, const claim_reply&) = default;
};

} // namespace damaskladder::claims
