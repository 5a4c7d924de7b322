#pragma once

#include "base/time.hpp"
#include "node/call_context.hpp"
#include "node/exchange_id.hpp"

#include <vector>

namespace damaskladder::node {

/// A call that the local backend server is running; parent of its onward calls.
struct running_call {
    call_context context;
    base::time_point deadline;
    /// Onward calls in progress.
    std::vector<exchange_id> onward;
    /// Start of the current period with onward calls in progress, and total length of the earlier
    /// periods.
    base::time_point onward_since;
    base::duration onward_time{};
};

} // namespace damaskladder::node
