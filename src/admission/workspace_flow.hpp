#pragma once

#include "admission/queued_call.hpp"
#include "base/share_weight.hpp"

#include <list>

namespace damaskladder::admission {

/// Queued calls of one workspace at one importance level, and its position in virtual time.
struct workspace_flow {
    base::share_weight weight{1};
    /// Virtual start time of the next call.
    double start_tag = 0;
    std::list<queued_call> calls;
};

} // namespace damaskladder::admission
