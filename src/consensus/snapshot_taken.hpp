#pragma once

#include "consensus/log_index.hpp"

#include <string>

namespace damaskladder::consensus {

/// The state machine encoded its state after the entry at last_index, which it has applied.
struct snapshot_taken {
    log_index last_index;
    std::string state;
};

} // namespace damaskladder::consensus
