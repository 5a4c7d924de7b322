#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace damaskladder::control {

/// 32 bytes of libsodium generichash.
struct digest {
    std::array<std::uint8_t, 32> bytes{};

    friend auto operator<=>(const digest&, const digest&) = default;
};

/// Hash without a key.
digest digest_of(std::span<const std::uint8_t> bytes);
digest digest_of(std::string_view text);
/// Hash with a key of 16 to 64 bytes; nothing if the key has another size.
std::optional<digest> keyed_digest_of(std::string_view text, std::span<const std::uint8_t> key);

/// 64 lower-case hexadecimal digits, and back.
std::string to_hex(const digest& value);
std::optional<digest> parse_digest(std::string_view hex);

} // namespace damaskladder::control
