#pragma once

#include "base/incarnation.hpp"
#include "base/message_address.hpp"

namespace damaskladder::membership {

/// Sent by a node after its start to its observers until they answer with endings_reply.
struct endings_query {
    /// Start incarnation of the sending process, returned with the answer.
    base::incarnation process;
    base::message_address reply_to;

    friend bool operator==(const endings_query&, const endings_query&) = default;
};

} // namespace damaskladder::membership
