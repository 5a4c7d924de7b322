#pragma once

#include "consensus/replica_identity.hpp"

namespace damaskladder::consensus {

/// Adds a replica as a learner; the leader makes it a voter once it has caught up. If the id is a
/// member with another nonce (its data folder was wiped), the old identity is replaced.
struct add_replica {
    replica_identity identity;
};

} // namespace damaskladder::consensus
