#pragma once

#include <cstdint>

namespace damaskladder::node {

/// Where a request stands at its entry node.
enum class entry_phase : std::uint8_t {
    waiting_for_token,
    /// A repeat that waits for the answer of the running request.
    joined,
    /// Forwarded; no answer yet.
    forwarded,
    /// Pauses before another attempt.
    backing_off,
    /// The answer is being relayed.
    relaying,
};

} // namespace damaskladder::node
