#include "control/digest.hpp"

#include <sodium.h>

namespace damaskladder::control {

namespace {

static_assert(sizeof(digest::bytes) == crypto_generichash_BYTES);

int hex_value(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

} // namespace

digest digest_of(std::span<const std::uint8_t> bytes)
{
    digest value;
    crypto_generichash(value.bytes.data(), value.bytes.size(), bytes.data(), bytes.size(), nullptr,
                       0);
    return value;
}

digest digest_of(std::string_view text)
{
    return digest_of(std::span(reinterpret_cast<const std::uint8_t*>(text.data()), text.size()));
}

std::optional<digest> keyed_digest_of(std::string_view text, std::span<const std::uint8_t> key)
{
    if (key.size() < crypto_generichash_KEYBYTES_MIN ||
        key.size() > crypto_generichash_KEYBYTES_MAX) {
        return std::nullopt;
    }
    digest value;
    crypto_generichash(value.bytes.data(), value.bytes.size(),
                       reinterpret_cast<const std::uint8_t*>(text.data()), text.size(), key.data(),
                       key.size());
    return value;
}

std::string to_hex(const digest& value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * value.bytes.size());
    for (auto byte : value.bytes) {
        text += digits[byte / 16];
        text += digits[byte % 16];
    }
    return text;
}

std::optional<digest> parse_digest(std::string_view hex)
{
    digest value;
    if (hex.size() != 2 * value.bytes.size()) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < value.bytes.size(); ++i) {
        int high = hex_value(hex[2 * i]);
        int low = hex_value(hex[2 * i + 1]);
        if (high < 0 || low < 0) {
            return std::nullopt;
        }
        value.bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return value;
}

} // namespace damaskladder::control
