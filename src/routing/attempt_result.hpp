#pragma once

#include <cstdint>

namespace damaskladder::routing {

/// How one attempt at a backend server ended, as far as it says something about that server.
enum class attempt_result : std::uint8_t {
    answered,
    /// The backend server or its node failed, or broke the connection.
    failed,
    /// No verdict came in time.
    timed_out,
    /// No connection could be made.
    unreachable,
    /// Its gatekeeper had no capacity.
    shed,
    /// Its gatekeeper said that it drains or leaves.
    draining,
    /// Ended for a reason that says nothing about the server.
    cancelled,
};

} // namespace damaskladder::routing
