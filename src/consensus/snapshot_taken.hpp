#pragma once

#include "consensus/log_index.hpp"

#include <string>

namespace damaskladder::consensus {

/// The state machine has encoded its state after applying the entry at last_index.
struct snapshot_taken {
    log_index last_index;
    std::string state;
};

} // namespace damaskladder::consensus
