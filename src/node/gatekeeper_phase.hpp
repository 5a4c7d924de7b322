#pragma once

#include <cstdint>

namespace damaskladder::node {

/// Where a call stands at its gatekeeper.
enum class gatekeeper_phase : std::uint8_t {
    queued,
    /// Holds a slot and waits for its claim.
    claiming,
    /// Given to the backend server; no byte has been sent.
    connecting,
    /// Bytes may have reached the backend server.
    sent,
    /// The answer is being relayed.
    responding,
};

} // namespace damaskladder::node
