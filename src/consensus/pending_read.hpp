#pragma once

#include "consensus/read_id.hpp"
#include "consensus/round_number.hpp"

namespace damaskladder::consensus {

/// A read that waits until a quorum has answered a heartbeat round begun after it arrived.
struct pending_read {
    read_id id;
    round_number required_round;
};

} // namespace damaskladder::consensus
