#pragma once

#include "consensus/replica_identity.hpp"

namespace damaskladder::consensus {

/// Adds a replica as a learner; the leader promotes it to voter once it has caught up. If the id
/// already belongs to a member with another nonce (its data folder was wiped), the old identity is
/// replaced.
struct add_replica {
    replica_identity identity;
};

} // namespace damaskladder::consensus
