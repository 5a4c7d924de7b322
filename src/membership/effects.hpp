#pragma once

#include "membership/send.hpp"

#include <vector>

namespace damaskladder::membership {

/// What the caller has to do after an event.
struct effects {
    std::vector<send> sends;
    /// view() has returned a new object since the previous event.
    bool view_changed = false;
};

} // namespace damaskladder::membership
