#pragma once

#include <cstdint>

namespace damaskladder::quota {

/// What became of a token that was given back.
enum class return_verdict : std::uint8_t {
    returned,
    /// The call holds no token: never charged, given back before, settled, or too long ago.
    not_charged,
};

} // namespace damaskladder::quota
