#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <cstring>
#include <functional>

namespace damaskladder::base {

/// Keyed hash of a workspace's key or an operator's token (libsodium generichash, 32 bytes, with a
/// key derived from the cluster secret). Never holds the key or the token itself.
struct key_hash {
    std::array<std::uint8_t, 32> bytes{};

    friend auto operator<=>(const key_hash&, const key_hash&) = default;
};

} // namespace damaskladder::base

template <>
struct std::hash<damaskladder::base::key_hash> {
    std::size_t operator()(const damaskladder::base::key_hash& key) const
    {
        // The bytes are uniformly distributed, so a prefix of them serves as the hash.
        std::size_t value = 0;
        std::memcpy(&value, key.bytes.data(), sizeof(value));
        return value;
    }
};
