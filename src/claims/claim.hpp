#pragma once

#include "base/attempt_id.hpp"
#include "base/node_id.hpp"
#include "base/request_id.hpp"
#include "base/workspace_id.hpp"
#include "claims/content_hash.hpp"

namespace damaskladder::claims {

/// Requests from the replicated log the exclusive right for this attempt to run a request.
/// Idempotent: a duplicate has the same effect and gets the same answer.
struct claim {
    base::workspace_id workspace;
    base::request_id request;
    base::attempt_id attempt;
    /// The gatekeeper that will run the attempt.
    base::node_id node;
    content_hash content;

    friend bool operator==(const claim&, const claim&) = default;
};

} // namespace damaskladder::claims
