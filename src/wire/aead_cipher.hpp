#pragma once

#include "wire/cluster_secret.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace damaskladder::wire {

/// Encrypts and authenticates byte strings (XChaCha20-Poly1305).
///
/// A nonce is 16 bytes drawn at random for each process and thread, and a count. A random one for
/// each message would cost a system call for each request.
class aead_cipher {
public:
    explicit aead_cipher(const secret_key& key);

    /// Nonce, ciphertext and tag: 40 bytes longer than the input.
    std::string seal(std::string_view plain) const;

    /// Nothing if the bytes were not sealed with this key or were altered.
    std::optional<std::string> open(std::string_view sealed) const;

private:
    secret_key m_key;
};

} // namespace damaskladder::wire
