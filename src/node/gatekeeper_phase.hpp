#pragma once

#include <cstdint>

namespace damaskladder::node {

/// Progress of a call at its gatekeeper.
enum class gatekeeper_phase : std::uint8_t {
    queued,
    /// Holds a slot and waits for its claim.
    claiming,
    /// Connecting to the backend server; no byte has been sent.
    connecting,
    /// Bytes may have reached the backend server.
    sent,
    /// The response is being relayed.
    responding,
};

} // namespace damaskladder::node
