#pragma once

#include "consensus/log_index.hpp"

namespace damaskladder::consensus {

/// The log has exceeded replica_options::snapshot_after_entries: encode the state machine and pass
/// the result as a snapshot_taken event.
struct snapshot_wanted {
    /// Index of the last entry passed to the state machine.
    log_index applied_index;
};

} // namespace damaskladder::consensus
