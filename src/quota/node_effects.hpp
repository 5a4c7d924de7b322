#pragma once

#include "quota/quota_send.hpp"
#include "quota/wait_ended.hpp"

namespace damaskladder::quota {

/// What node_quota wants done after an event.
struct node_effects {
    quota_sends sends;
    wait_endings endings;
};

} // namespace damaskladder::quota
