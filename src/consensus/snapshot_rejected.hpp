#pragma once

#include "base/byte_count.hpp"
#include "consensus/log_index.hpp"

namespace damaskladder::consensus {

/// A snapshot is larger than replica_options::max_snapshot and was not taken over; the log keeps
/// growing until a smaller one comes.
struct snapshot_rejected {
    log_index last_index;
    base::byte_count size;
};

} // namespace damaskladder::consensus
