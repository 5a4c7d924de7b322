#pragma once

#include "consensus/message.hpp"
#include "consensus/replica_identity.hpp"

namespace damaskladder::consensus {

/// A message with its sender and receiver. Route by to.id; the receiver drops a message whose
/// to.nonce is known and differs from its own.
struct envelope {
    replica_identity from;
    replica_identity to;
    message body;

    friend bool operator==(const envelope&, const envelope&) = default;
};

} // namespace damaskladder::consensus
