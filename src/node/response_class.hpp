#pragma once

#include <cstdint>

namespace damaskladder::node {

/// What the status of a response says about the backend server that sent it.
enum class response_class : std::uint8_t {
    /// The backend server processed the request, whether or not the request was valid (2xx to 4xx).
    served,
    /// The backend server failed (5xx other than 503).
    failed,
    /// The backend server is shedding load (429 or 503).
    overloaded,
};

} // namespace damaskladder::node
