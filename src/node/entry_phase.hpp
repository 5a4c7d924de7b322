#pragma once

#include <cstdint>

namespace damaskladder::node {

/// Progress of a request at its entry node.
enum class entry_phase : std::uint8_t {
    waiting_for_token,
    /// Waits until requests ahead on its connection are answered; nothing is done for it yet.
    waiting_for_turn,
    /// A repeat that waits for the response of the running request.
    joined,
    /// Forwarded; no response yet.
    forwarded,
    /// Waits before another attempt.
    backing_off,
    /// The response is being relayed.
    relaying,
};

} // namespace damaskladder::node
