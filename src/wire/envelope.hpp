#pragma once

#include "base/incarnation.hpp"
#include "base/node_id.hpp"
#include "base/sequence_number.hpp"
#include "wire/message_kind.hpp"

#include <string>

namespace damaskladder::wire {

/// One message between two processes, with what authenticates it.
struct envelope {
    base::node_id sender;
    base::incarnation sender_incarnation;
    /// Counts the messages of this run of the sender.
    base::sequence_number sequence;
    base::node_id receiver;
    message_kind kind = message_kind::membership;
    /// The encoded message.
    std::string body;
};

} // namespace damaskladder::wire
