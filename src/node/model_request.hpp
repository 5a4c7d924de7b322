#pragma once

#include "base/time.hpp"

#include <cstddef>

namespace damaskladder::node {

/// For tests: one request of a traffic model and what became of it.
struct model_request {
    std::size_t sender = 0;
    base::time_point sent_at;
    int attempts = 0;
    /// Start of the client's present attempt.
    base::time_point attempt_at;
    /// Whole answer to some attempt, in time.
    bool answered = false;
};

} // namespace damaskladder::node
