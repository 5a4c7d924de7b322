#include "wire/key_hasher.hpp"

#include <sodium.h>

namespace damaskladder::wire {

base::key_hash key_hasher::hash(std::string_view credential) const
{
    base::key_hash digest;
    static_assert(sizeof(digest.bytes) == crypto_generichash_BYTES);
    crypto_generichash(digest.bytes.data(), digest.bytes.size(),
                       reinterpret_cast<const unsigned char*>(credential.data()), credential.size(),
                       m_key.data(), m_key.size());
    return digest;
}

} // namespace damaskladder::wire
