#pragma once

#include "base/attempt_id.hpp"
#include "base/node_id.hpp"
#include "base/request_id.hpp"
#include "base/workspace_id.hpp"
#include "claims/content_hash.hpp"

namespace damaskladder::claims {

/// Asks the replicated log for the right that this attempt, and no other, runs a request.
/// Submitted again it has the same effect and the same answer.
struct claim {
    base::workspace_id workspace;
    base::request_id request;
    base::attempt_id attempt;
    /// The gatekeeper that will run it.
    base::node_id node;
    content_hash content;

    friend bool operator==(const claim&, const claim&) = default;
};

} // namespace damaskladder::claims
