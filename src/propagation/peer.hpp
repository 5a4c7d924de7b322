#pragma once

#include "base/message_address.hpp"
#include "base/node_id.hpp"

namespace damaskladder::propagation {

/// A process that requests or serves settings.
struct peer {
    base::node_id node;
    base::message_address address;

    friend bool operator==(const peer&, const peer&) = default;
};

} // namespace damaskladder::propagation
