#pragma once

#include <cstddef>

namespace damaskladder::daemon {

/// Requests that wait behind others on their connections, for metrics.
struct waiting_requests {
    std::size_t count = 0;
    /// Size of their bodies and of their responses.
    std::size_t bytes = 0;
};

} // namespace damaskladder::daemon
