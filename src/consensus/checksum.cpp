#include "consensus/checksum.hpp"

#include <sodium.h>

namespace damaskladder::consensus {

checksum checksum_of(std::initializer_list<std::string_view> parts)
{
    checksum sum{};
    static_assert(sizeof(sum) == crypto_generichash_BYTES_MIN);
    crypto_generichash_state state{};
    crypto_generichash_init(&state, nullptr, 0, sum.size());
    for (const std::string_view part : parts) {
        crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(part.data()),
                                  part.size());
    }
    crypto_generichash_final(&state, reinterpret_cast<unsigned char*>(sum.data()), sum.size());
    return sum;
}

} // namespace damaskladder::consensus
