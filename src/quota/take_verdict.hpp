#pragma once

#include <cstdint>

namespace damaskladder::quota {

/// Answer to a request that needs a token.
enum class take_verdict : std::uint8_t {
    taken,
    /// A wait_ended effect will follow.
    wait,
    refused,
};

} // namespace damaskladder::quota
