#pragma once

#include "base/time.hpp"
#include "control/log_position.hpp"

namespace damaskladder::control {

/// Place and time that the leader gave a command. Each replica applies it with the same stamp.
struct log_stamp {
    log_position position;
    /// The state machine takes the latest time it has seen, so log time never goes back.
    base::wall_time time;
};

} // namespace damaskladder::control
