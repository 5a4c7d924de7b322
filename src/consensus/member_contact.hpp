#pragma once

#include "base/time.hpp"
#include "consensus/replica_id.hpp"

namespace damaskladder::consensus {

/// What a leader knows of another member.
struct member_contact {
    replica_id id;
    /// Time of the last message from the member, or of this leader's election if there was none.
    base::time_point last_heard;
    /// The member answers and its log lacks at most replica_options::promotion_lag_entries.
    bool caught_up = false;
};

} // namespace damaskladder::consensus
