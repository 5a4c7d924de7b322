#pragma once

#include "base/incarnation.hpp"
#include "base/node_id.hpp"
#include "base/sequence_number.hpp"
#include "wire/message_kind.hpp"

#include <string>

namespace damaskladder::wire {

/// A message between two processes, with the fields needed to verify its sender and receiver and to
/// detect replays.
struct envelope {
    base::node_id sender;
    base::incarnation sender_incarnation;
    /// Number of the message within this run of the sender.
    base::sequence_number sequence;
    base::node_id receiver;
    message_kind kind = message_kind::membership;
    /// The encoded message.
    std::string body;
};

} // namespace damaskladder::wire
