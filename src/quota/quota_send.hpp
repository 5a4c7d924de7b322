#pragma once

#include "base/node_id.hpp"
#include "quota/quota_message.hpp"

#include <vector>

namespace damaskladder::quota {

/// Effect: sends the message to the node, which may be the sender itself.
struct quota_send {
    base::node_id to;
    quota_message message;

    friend bool operator==(const quota_send&, const quota_send&) = default;
};

using quota_sends = std::vector<quota_send>;

} // namespace damaskladder::quota
