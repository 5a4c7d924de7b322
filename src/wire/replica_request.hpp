#pragma once

#include "consensus/replica_identity.hpp"

namespace damaskladder::wire {

/// Message: a control replica asks the leader to add it as a member, or announces that it is about
/// to stop.
struct replica_request {
    consensus::replica_identity identity;
    bool leaving = false;
    /// Forwarded by a replica that is not the leader; must not be forwarded again.
    bool forwarded = false;
};

} // namespace damaskladder::wire
