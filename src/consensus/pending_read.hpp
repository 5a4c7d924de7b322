#pragma once

#include "consensus/read_id.hpp"
#include "consensus/round_number.hpp"

namespace damaskladder::consensus {

/// Read that waits until a quorum has acknowledged a heartbeat round started after the read
/// arrived.
struct pending_read {
    read_id id;
    round_number required_round;
};

} // namespace damaskladder::consensus
