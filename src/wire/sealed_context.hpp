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
    /// Hash of the request's content, for claims; empty if the entry node did not compute it.
    base::content_hash content;
    /// The only node that may accept the context.
    base::node_id receiver;
    /// Run of the issuing process. Together with expires_at it limits how long a context that a
    /// backend server presents is valid. Other nodes ignore both fields, because clocks are not
    /// synchronised.
    base::incarnation issuer_incarnation;
    base::time_point expires_at;
};

} // namespace damaskladder::wire
