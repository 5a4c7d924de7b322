#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <cstring>
#include <functional>

namespace damaskladder::settings {

/// Keyed hash of a workspace's key (libsodium generichash, 32 bytes, with the cluster key).
struct key_hash {
    std::array<std::uint8_t, 32> bytes{};

    friend auto operator<=>(const key_hash&, const key_hash&) = default;
};

} // namespace damaskladder::settings

template <>
struct std::hash<damaskladder::settings::key_hash> {
    std::size_t operator()(const damaskladder::settings::key_hash& key) const
    {
        // The bytes are uniform already.
        std::size_t value = 0;
        std::memcpy(&value, key.bytes.data(), sizeof(value));
        return value;
    }
};
