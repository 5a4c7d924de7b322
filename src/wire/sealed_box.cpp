#include "wire/sealed_box.hpp"

#include <sodium.h>

#include <stdexcept>

namespace damaskladder::wire {

namespace {

constexpr std::size_t nonce_size = crypto_aead_xchacha20poly1305_ietf_NPUBBYTES;
constexpr std::size_t tag_size = crypto_aead_xchacha20poly1305_ietf_ABYTES;

unsigned char* bytes(std::string& text)
{
    return reinterpret_cast<unsigned char*>(text.data());
}

const unsigned char* bytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

sealed_box::sealed_box(const secret_key& key) : m_key(key)
{
    static_assert(std::tuple_size_v<secret_key> == crypto_aead_xchacha20poly1305_ietf_KEYBYTES);
    if (sodium_init() < 0) {
        throw std::runtime_error("sealed box: libsodium has no random source");
    }
}

std::string sealed_box::seal(std::string_view plain) const
{
    std::string sealed(nonce_size + plain.size() + tag_size, '\0');
    randombytes_buf(sealed.data(), nonce_size);
    crypto_aead_xchacha20poly1305_ietf_encrypt(bytes(sealed) + nonce_size, nullptr, bytes(plain),
                                               plain.size(), nullptr, 0, nullptr, bytes(sealed),
                                               m_key.data());
    return sealed;
}

std::optional<std::string> sealed_box::open(std::string_view sealed) const
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
