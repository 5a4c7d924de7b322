#pragma once

#include "base/byte_count.hpp"
#include "consensus/replica_id.hpp"

#include <vector>

namespace damaskladder::consensus {

/// Options of file_storage.
struct file_storage_options {
    /// Configured id; must match the id stored in the data folder.
    replica_id id;
    /// A new segment is started once the current one reaches this size.
    base::byte_count segment_size{8 << 20};
    /// Maximum size of an encoded entry. Must exceed replica_options::max_command and the encoded
    /// size of the largest configuration.
    base::byte_count max_record{2 << 20};
    /// Maximum size of a snapshot file. Must exceed replica_options::max_snapshot.
    base::byte_count max_snapshot_file{512 << 20};
    /// Replicas that form the cluster with this one, as in replica_options. Stored in a new folder.
    std::vector<replica_id> initial_replicas = {};
};

} // namespace damaskladder::consensus
