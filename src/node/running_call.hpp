#pragma once

#include "base/time.hpp"
#include "node/call_context.hpp"
#include "node/exchange_id.hpp"

#include <vector>

namespace damaskladder::node {

/// A call that the local backend server runs, as its onward calls need it.
struct running_call {
    call_context context;
    base::time_point deadline;
    /// Onward calls under way.
    std::vector<exchange_id> onward;
    /// Start of the present time with onward calls under way, and the sum of the earlier ones.
    base::time_point onward_since;
    base::duration onward_time{};
};

} // namespace damaskladder::node
