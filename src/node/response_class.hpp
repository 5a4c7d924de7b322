#pragma once

#include <cstdint>

namespace damaskladder::node {

/// What the status of a backend server's answer says about the backend server.
enum class response_class : std::uint8_t {
    /// The backend server did its work, whatever the answer says about the request (2xx to 4xx).
    served,
    /// The backend server failed (5xx other than 503).
    failed,
    /// The backend server sheds load (429 or 503).
    overloaded,
};

} // namespace damaskladder::node
