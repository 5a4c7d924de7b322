#pragma once

#include "base/content_hash.hpp"
#include "base/incarnation.hpp"
#include "base/time.hpp"
#include "node/call_context.hpp"
#include "wire/context_purpose.hpp"

namespace damaskladder::wire {

/// Contents of the Damaskladder-Context header.
struct sealed_context {
    context_purpose purpose = context_purpose::gatekeeper;
    node::call_context call;
    /// Hash of the request's content, for claims; empty if the entry node did not need it.
    base::content_hash content;
    /// The node that may accept it.
    base::node_id receiver;
    /// Run of the issuing process; together with expires_at it bounds the use of a context that
    /// comes back from a backend server. Other nodes ignore both, as clocks are not shared.
    base::incarnation issuer_incarnation;
    base::time_point expires_at;
};

} // namespace damaskladder::wire
