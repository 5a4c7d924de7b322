#pragma once

#include "base/byte_count.hpp"
#include "consensus/replica_id.hpp"

namespace damaskladder::consensus {

/// Settings of the data folder.
struct file_storage_options {
    /// Configured id; must equal the id that the folder was created with.
    replica_id id;
    /// A new segment is begun once the current one has this size.
    base::byte_count segment_size{8 << 20};
    /// Largest encoded entry. Must exceed replica_options::max_command and the encoding of the
    /// largest configuration.
    base::byte_count max_record{2 << 20};
    /// Largest snapshot file. Must exceed replica_options::max_snapshot.
    base::byte_count max_snapshot_file{512 << 20};
};

} // namespace damaskladder::consensus
