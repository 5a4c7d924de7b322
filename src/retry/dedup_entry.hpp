#pragma once

#include "base/content_hash.hpp"
#include "base/time.hpp"
#include "retry/kept_answer.hpp"
#include "retry/waiter_id.hpp"

#include <memory>
#include <vector>

namespace damaskladder::retry {

/// A request with a request id that is running or has a cached answer.
struct dedup_entry {
    base::content_hash content;
    /// Waiting callers; the first one's request is the running one. Empty once answered.
    std::vector<waiter_id> waiting;
    std::shared_ptr<const kept_answer> answer;
    base::time_point expires_at;
};

} // namespace damaskladder::retry
