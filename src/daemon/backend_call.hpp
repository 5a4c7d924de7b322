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

/// What a front end may tell a backend server about a request that it hands over.
struct backend_call {
    const node::call_context& context;
    /// The run of the backend server that the request is meant for; empty if unknown.
    const base::instance_id& instance;
    /// Time that the backend server has.
    base::duration left{};
    /// Sealed form of the context, made when asked for, for servers that pass it back.
    std::function<std::string()> seal_context;

    /// The time left in whole milliseconds, at least one, as front ends send it.
    std::int64_t milliseconds_left() const
    {
        const auto whole = std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
        return std::max<std::int64_t>(whole, 1);
    }
};

} // namespace damaskladder::daemon
