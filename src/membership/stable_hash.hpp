#pragma once

#include <cstdint>
#include <string_view>

namespace damaskladder::membership {

/// 64-bit hash that is equal on all nodes of a fleet, whatever their compiler (FNV-1a with a mixing
/// step). Not for secrets or against chosen inputs.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed);

/// Spreads the bits of a value.
std::uint64_t mix_bits(std::uint64_t value);

} // namespace damaskladder::membership
