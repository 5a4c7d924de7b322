#pragma once

#include "base/time.hpp"
#include "consensus/replica_id.hpp"

namespace damaskladder::consensus {

/// Time at which a leader last received a message from another member.
struct member_contact {
    replica_id id;
    base::time_point last_heard;
};

} // namespace damaskladder::consensus
