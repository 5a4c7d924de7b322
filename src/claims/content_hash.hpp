#pragma once

#include <array>
#include <cstdint>

namespace damaskladder::claims {

/// Hash of a request's method, path and body. Distinguishes a repeat from a different request with
/// the same id.
struct content_hash {
    std::array<std::uint8_t, 32> bytes{};

    friend bool operator==(const content_hash&, const content_hash&) = default;
};

} // namespace damaskladder::claims
