#pragma once

#include "consensus/replica_id.hpp"

namespace damaskladder::consensus {

/// Removes a replica, voter or learner.
struct remove_replica {
    replica_id id;
};

} // namespace damaskladder::consensus
