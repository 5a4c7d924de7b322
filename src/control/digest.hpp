#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace damaskladder::control {

/// 32-byte hash computed with libsodium's generichash.
struct digest {
    std::array<std::uint8_t, 32> bytes{};

    friend auto operator<=>(const digest&, const digest&) = default;
};

/// Unkeyed hash.
digest digest_of(std::span<const std::uint8_t> bytes);
digest digest_of(std::string_view text);
/// Keyed hash; nullopt unless the key has 16 to 64 bytes.
std::optional<digest> keyed_digest_of(std::string_view text, std::span<const std::uint8_t> key);

/// Convert to and from 64 lower-case hexadecimal digits.
std::string to_hex(const digest& value);
std::optional<digest> parse_digest(std::string_view hex);

} // namespace damaskladder::control
