#pragma once

#include "consensus/entry.hpp"
#include "consensus/hard_state.hpp"
#include "consensus/replica_identity.hpp"
#include "consensus/snapshot.hpp"

#include <memory>
#include <vector>

namespace damaskladder::consensus {

/// State read from storage when a replica starts.
struct recovered_state {
    replica_identity identity;
    hard_state election_state;
    /// Null if there is no snapshot.
    std::shared_ptr<const snapshot> newest_snapshot;
    /// Entries after the snapshot, in order and without gaps.
    std::vector<entry> entries;
    /// Replicas with which this one formed the cluster, or still may; empty if it joined later.
    std::vector<replica_id> initial_replicas = {};
};

} // namespace damaskladder::consensus
