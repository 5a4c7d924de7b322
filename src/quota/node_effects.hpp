#pragma once

#include "quota/quota_send.hpp"
#include "quota/wait_ended.hpp"

namespace damaskladder::quota {

/// Effects of an event that the caller of node_quota performs.
struct node_effects {
    quota_sends sends;
    wait_endings endings;
};

} // namespace damaskladder::quota
