#pragma once

#include "base/time.hpp"
#include "control/log_position.hpp"

namespace damaskladder::control {

/// Log position and time that the leader assigned to a command. Every replica applies the command
/// with the same stamp.
struct log_stamp {
    log_position position;
    /// Log time is the latest of these times, so it never goes backwards.
    base::wall_time time;
};

} // namespace damaskladder::control
