#pragma once

#include <array>
#include <cstddef>
#include <initializer_list>
#include <string_view>

namespace damaskladder::consensus {

/// BLAKE2b, 128 bits. Detects accidental damage, not tampering.
using checksum = std::array<char, 16>;

/// Checksum of the concatenated parts.
checksum checksum_of(std::initializer_list<std::string_view> parts);

} // namespace damaskladder::consensus
