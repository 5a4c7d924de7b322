#pragma once

#include "membership/endpoint.hpp"
#include "membership/message.hpp"

namespace damaskladder::membership {

/// Effect: send a message. The message may be lost, duplicated or reordered.
struct send {
    endpoint to;
    message body;

    friend bool operator==(const send&, const send&) = default;
};

} // namespace damaskladder::membership
