#pragma once

#include "base/time.hpp"

#include <cstddef>

namespace damaskladder::node {

/// For tests: a request of a traffic model and its result.
struct model_request {
    std::size_t sender = 0;
    base::time_point sent_at;
    int attempts = 0;
    /// Start of the client's current attempt.
    base::time_point attempt_at;
    /// One of the attempts got a complete response in time.
    bool answered = false;
};

} // namespace damaskladder::node
