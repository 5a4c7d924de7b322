#pragma once

#include "base/byte_count.hpp"
#include "consensus/log_index.hpp"

namespace damaskladder::consensus {

/// The snapshot exceeds replica_options::max_snapshot and was discarded. The log keeps growing
/// until a smaller snapshot is taken.
struct snapshot_rejected {
    log_index last_index;
    base::byte_count size;
};

} // namespace damaskladder::consensus
