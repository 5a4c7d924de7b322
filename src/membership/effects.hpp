#pragma once

#include "membership/run_ending.hpp"
#include "membership/send.hpp"

#include <vector>

namespace damaskladder::membership {

/// Actions for the caller to perform after an event.
struct effects {
    std::vector<send> sends;
    /// True if view() returns a different object than after the previous event.
    bool view_changed = false;
    /// Endings of runs that this node confirmed before its last restart, as kept by other nodes.
    std::vector<run_ending> recovered_endings;
};

} // namespace damaskladder::membership
