#pragma once

#include "consensus/log_index.hpp"

namespace damaskladder::consensus {

/// The log has grown past its bound: encode the state machine and feed snapshot_taken.
struct snapshot_wanted {
    /// Last entry given to the state machine.
    log_index applied_index;
};

} // namespace damaskladder::consensus
