#pragma once

#include "wire/cluster_secret.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace damaskladder::wire {

/// Encrypts and authenticates byte strings (XChaCha20-Poly1305).
///
/// A nonce consists of 16 random bytes, drawn once per thread of each process, and a counter. A
/// random nonce for each message would cost a system call per request.
class aead_cipher {
public:
    explicit aead_cipher(const secret_key& key);

    /// Returns nonce, ciphertext and tag, 40 bytes longer than the input.
    std::string seal(std::string_view plain) const;

    /// Returns nullopt if the bytes were not sealed with this key or were modified.
    std::optional<std::string> open(std::string_view sealed) const;

private:
    secret_key m_key;
};

} // namespace damaskladder::wire
