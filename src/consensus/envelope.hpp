#pragma once

#include "consensus/message.hpp"
#include "consensus/replica_identity.hpp"

namespace damaskladder::consensus {

/// A message with its sender and receiver. Deliver by to.id; the receiver itself drops a message
/// whose to.nonce is known and not its own.
struct envelope {
    replica_identity from;
    replica_identity to;
    message body;

    friend bool operator==(const envelope&, const envelope&) = default;
};

} // namespace damaskladder::consensus
