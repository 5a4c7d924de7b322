#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <span>

namespace damaskladder::control {

/// Parses CBOR. Returns nullopt if the bytes are malformed, have trailing data or nest deeper than
/// any stored type. The library's parser recurses, so a few kilobytes of nested lists would
/// otherwise overflow the stack.
std::optional<nlohmann::json> parse_cbor(std::span<const std::uint8_t> bytes);

} // namespace damaskladder::control
