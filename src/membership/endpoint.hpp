#pragma once

#include "base/message_address.hpp"
#include "base/node_id.hpp"

namespace damaskladder::membership {

/// Receiver of a message. The node id is empty for a seed, because only its address is known.
struct endpoint {
    base::node_id node;
    base::message_address address;

    friend bool operator==(const endpoint&, const endpoint&) = default;
    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

} // namespace damaskladder::membership
