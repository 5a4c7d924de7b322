#pragma once

#include "consensus/log_index.hpp"

namespace damaskladder::consensus {

/// The log has reached replica_options::snapshot_after_entries or snapshot_after_bytes: encode the
/// state machine and pass the result as a snapshot_taken event.
struct snapshot_wanted {
    /// Index of the last entry passed to the state machine.
    log_index applied_index;
};

} // namespace damaskladder::consensus
