#pragma once

#include "base/node_id.hpp"
#include "lease/lease_message.hpp"

#include <vector>

namespace damaskladder::lease {

/// Effect: send the message to the node, which may be the sender itself.
struct lease_send {
    base::node_id to;
    lease_message message;

    friend bool operator==(const lease_send&, const lease_send&) = default;
};

using lease_effects = std::vector<lease_send>;

} // namespace damaskladder::lease
