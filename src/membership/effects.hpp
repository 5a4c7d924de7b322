#pragma once

#include "membership/send.hpp"

#include <vector>

namespace damaskladder::membership {

/// Actions for the caller to perform after an event.
struct effects {
    std::vector<send> sends;
    /// True if view() returns a different object than after the previous event.
    bool view_changed = false;
};

} // namespace damaskladder::membership
