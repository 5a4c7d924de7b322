#pragma once

#include "base/call_id.hpp"
#include "quota/take_answer.hpp"

#include <vector>

namespace damaskladder::quota {

/// Effect: reports how the wait of a request ended. The verdict is never take_verdict::wait.
struct wait_ended {
    base::call_id call;
    take_answer answer;

    friend bool operator==(const wait_ended&, const wait_ended&) = default;
};

using wait_endings = std::vector<wait_ended>;

} // namespace damaskladder::quota
