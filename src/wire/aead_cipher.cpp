#include "wire/aead_cipher.hpp"

#include <sodium.h>

#include <array>
#include <cstdint>
#include <cstring>
#include <stdexcept>

namespace damaskladder::wire {

namespace {

constexpr std::size_t nonce_size = crypto_aead_xchacha20poly1305_ietf_NPUBBYTES;
constexpr std::size_t tag_size = crypto_aead_xchacha20poly1305_ietf_ABYTES;

/// Generates nonces that are unique across processes, threads and calls.
class nonce_source {
public:
    nonce_source() { randombytes_buf(m_prefix.data(), m_prefix.size()); }

    void write(char* out)
    {
        ++m_count;
        std::memcpy(out, m_prefix.data(), m_prefix.size());
        std::memcpy(out + m_prefix.size(), &m_count, sizeof m_count);
    }

private:
    std::array<char, nonce_size - sizeof(std::uint64_t)> m_prefix{};
    std::uint64_t m_count = 0;
};

unsigned char* bytes(std::string& text)
{
    return reinterpret_cast<unsigned char*>(text.data());
}

const unsigned char* bytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

aead_cipher::aead_cipher(const secret_key& key) : m_key(key)
{
    static_assert(std::tuple_size_v<secret_key> == crypto_aead_xchacha20poly1305_ietf_KEYBYTES);
    if (sodium_init() < 0) {
        throw std::runtime_error("cannot initialise libsodium");
    }
}

std::string aead_cipher::seal(std::string_view plain) const
{
    std::string sealed(nonce_size + plain.size() + tag_size, '\0');
    thread_local nonce_source nonces;
    nonces.write(sealed.data());
    crypto_aead_xchacha20poly1305_ietf_encrypt(bytes(sealed) + nonce_size, nullptr, bytes(plain),
                                               plain.size(), nullptr, 0, nullptr, bytes(sealed),
                                               m_key.data());
    return sealed;
}

std::optional<std::string> aead_cipher::open(std::string_view sealed) const
{
    if (sealed.size() < nonce_size + tag_size) {
        return std::nullopt;
    }
    std::string plain(sealed.size() - nonce_size - tag_size, '\0');
    const int failed = crypto_aead_xchacha20poly1305_ietf_decrypt(
        bytes(plain), nullptr, nullptr, bytes(sealed) + nonce_size, sealed.size() - nonce_size,
        nullptr, 0, bytes(sealed), m_key.data());
    if (failed != 0) {
        return std::nullopt;
    }
    return plain;
}

} // namespace damaskladder::wire
