#include "wire/key_hasher.hpp"

#include <sodium.h>

namespace damaskladder::wire {

base::key_hash key_hasher::hash(std::string_view presented) const
{
    std::array<unsigned char, crypto_generichash_BYTES> digest{};
    crypto_generichash(digest.data(), digest.size(),
                       reinterpret_cast<const unsigned char*>(presented.data()), presented.size(),
                       m_key.data(), m_key.size());
    std::string text(2 * digest.size() + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
    text.pop_back();
    return base::key_hash(text);
}

} // namespace damaskladder::wire
