#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <span>

namespace damaskladder::control {

/// Parses CBOR. Nothing if the bytes are malformed, continue after the value, or nest deeper than
/// any stored form does: the library's parser recurses, so a few kilobytes of nested lists would
/// otherwise overflow the stack.
std::optional<nlohmann::json> parse_cbor(std::span<const std::uint8_t> bytes);

} // namespace damaskladder::control
