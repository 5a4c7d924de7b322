#pragma once

#include "base/call_id.hpp"
#include "base/retry_count.hpp"

#include <unordered_map>

namespace damaskladder::retry {

/// Remaining extra attempts of one running call, and the amounts delegated to its onward calls.
struct call_allowance {
    base::retry_count remaining;
    std::unordered_map<base::call_id, base::retry_count> delegated;
};

} // namespace damaskladder::retry
