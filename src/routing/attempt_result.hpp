#pragma once

#include <cstdint>

namespace damaskladder::routing {

/// Result of one attempt, classified by what it shows about the backend server.
enum class attempt_result : std::uint8_t {
    answered,
    /// The backend server or its node failed or closed the connection.
    failed,
    /// No verdict arrived in time.
    timed_out,
    /// The connection could not be established.
    unreachable,
    /// The gatekeeper had no capacity.
    shed,
    /// The server gets no more requests of this importance at present, by its own rate or because
    /// it is cold.
    limited,
    /// The gatekeeper reported that the server is draining or leaving.
    draining,
    /// The gatekeeper reported that the failure domain of the server is evacuated.
    evacuated,
    /// The attempt ended for a reason unrelated to the server.
    cancelled,
};

} // namespace damaskladder::routing
