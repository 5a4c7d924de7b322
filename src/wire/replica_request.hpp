#pragma once

#include "consensus/replica_identity.hpp"

namespace damaskladder::wire {

/// A control replica asks the leader to be a member, or tells that it is about to stop.
struct replica_request {
    consensus::replica_identity identity;
    bool leaving = false;
    /// Sent on by a replica that does not lead; goes no further.
    bool forwarded = false;
};

} // namespace damaskladder::wire
