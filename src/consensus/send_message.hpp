#pragma once

#include "consensus/envelope.hpp"

namespace damaskladder::consensus {

/// Send without waiting for the receiver; a lost message is repaired by the protocol.
struct send_message {
    envelope content;
};

} // namespace damaskladder::consensus
