#pragma once

#include <cstdint>

namespace damaskladder::node {

/// Where a request stands at its entry node.
enum class entry_phase : std::uint8_t {
    waits_for_tokens,
    /// A repeat that waits for the answer of the running request.
    joined,
    /// Forwarded; no answer yet.
    forwarded,
    /// Pauses before another attempt.
    pausing,
    /// The answer is being relayed.
    relaying,
};

} // namespace damaskladder::node
