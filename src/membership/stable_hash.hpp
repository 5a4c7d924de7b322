#pragma once

#include <cstdint>
#include <string_view>

namespace damaskladder::membership {

/// 64-bit hash that does not depend on the compiler, so all nodes of a fleet compute equal values
/// (FNV-1a with a mixing step). Not suitable for secrets, and not resistant to chosen inputs.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed);

/// Mixes the bits of a value, so that similar inputs give dissimilar results.
std::uint64_t mix_bits(std::uint64_t value);

} // namespace damaskladder::membership
