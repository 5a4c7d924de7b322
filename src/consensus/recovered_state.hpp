#pragma once

#include "consensus/entry.hpp"
#include "consensus/hard_state.hpp"
#include "consensus/replica_identity.hpp"
#include "consensus/snapshot.hpp"

#include <memory>
#include <vector>

namespace damaskladder::consensus {

/// What storage holds when a replica starts.
struct recovered_state {
    replica_identity identity;
    hard_state election_state;
    /// Newest snapshot; null if there is none.
    std::shared_ptr<const snapshot> newest_snapshot;
    /// Entries after the snapshot, in order and without gaps.
    std::vector<entry> entries;
};

} // namespace damaskladder::consensus
