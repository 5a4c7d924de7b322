#include "membership/stable_hash.hpp"

namespace damaskladder::membership {

std::uint64_t mix_bits(std::uint64_t value)
{
    value ^= value >> 30U;
    value *= 0xbf58476d1ce4e5b9U;
    value ^= value >> 27U;
    value *= 0x94d049bb133111ebU;
    value ^= value >> 31U;
    return value;
}

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    constexpr std::uint64_t fnv_offset = 0xcbf29ce484222325U;
    constexpr std::uint64_t fnv_prime = 0x100000001b3U;
    std::uint64_t hash = fnv_offset ^ mix_bits(seed + 1);
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= fnv_prime;
    }
    return mix_bits(hash);
}

} // namespace damaskladder::membership
