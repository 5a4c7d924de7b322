#pragma once

#include "base/instance_id.hpp"
#include "base/time.hpp"
#include "node/call_context.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace damaskladder::daemon {

/// Data about a request that a front end may pass on to the backend server.
struct backend_call {
    const node::call_context& context;
    /// Instance of the backend server that the request is addressed to; empty if unknown.
    const base::instance_id& instance;
    /// Time left until the deadline of the request.
    base::duration left{};
    /// Returns the sealed context, for backend servers that pass it back. Computed on demand.
    std::function<std::string()> seal_context;

    /// Time left, rounded down to whole milliseconds but at least 1, as sent in headers.
    std::int64_t milliseconds_left() const
    {
        const auto whole = std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
        return std::max<std::int64_t>(whole, 1);
    }
};

} // namespace damaskladder::daemon
