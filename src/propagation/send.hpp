#pragma once

#include "propagation/message.hpp"
#include "propagation/peer.hpp"

namespace damaskladder::propagation {

/// Effect: send a message. It may be lost, duplicated or reordered.
struct send {
    peer to;
    message body;

    friend bool operator==(const send&, const send&) = default;
};

} // namespace damaskladder::propagation
