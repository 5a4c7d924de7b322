#pragma once

#include "base/time.hpp"
#include "consensus/replica_id.hpp"

namespace damaskladder::consensus {

/// When a leader last heard another member.
struct member_contact {
    replica_id id;
    base::time_point last_heard;
};

} // namespace damaskladder::consensus
