#pragma once

#include "base/attempt_id.hpp"
#include "base/node_id.hpp"
#include "control/claim_key.hpp"
#include "control/content_hash.hpp"

namespace damaskladder::control {

/// Requests the exclusive right to run a non-idempotent request.
struct claim_request {
    claim_key key;
    base::attempt_id attempt;
    base::node_id node;
    content_hash content;

    friend bool operator==(const claim_request&, const claim_request&) = default;
};

} // namespace damaskladder::control
