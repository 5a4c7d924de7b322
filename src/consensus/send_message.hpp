#pragma once

#include "consensus/envelope.hpp"

namespace damaskladder::consensus {

/// Send the message without waiting for the receiver. The protocol tolerates its loss.
struct send_message {
    envelope content;
};

} // namespace damaskladder::consensus
