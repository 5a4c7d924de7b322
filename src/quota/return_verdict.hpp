#pragma once

#include <cstdint>

namespace damaskladder::quota {

/// Result of returning a token.
enum class return_verdict : std::uint8_t {
    returned,
    /// The call holds no token: it was never charged, has returned its token or was settled, or the
    /// charge has expired.
    not_charged,
};

} // namespace damaskladder::quota
