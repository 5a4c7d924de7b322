#pragma once

#include "base/call_id.hpp"
#include "base/retry_count.hpp"

#include <unordered_map>

namespace damaskladder::retry {

/// Extra attempts that one running call has left, and what it has lent to its onward calls.
struct call_allowance {
    base::retry_count remaining;
    std::unordered_map<base::call_id, base::retry_count> delegated;
};

} // namespace damaskladder::retry
