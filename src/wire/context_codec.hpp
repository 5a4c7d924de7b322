#pragma once

#include "base/result.hpp"
#include "wire/aead_cipher.hpp"
#include "wire/sealed_context.hpp"

#include <string>
#include <string_view>

namespace damaskladder::wire {

/// Encrypts and authenticates request contexts as header values, and opens them again.
class context_codec {
public:
    explicit context_codec(const cluster_secret& secret)
        : m_cipher(secret.derive(key_usage::request_context))
    {
    }

    /// Returns URL-safe base64 text without padding.
    std::string seal(const sealed_context& context) const;

    /// Fails with permission_denied if the text was not sealed by a node of this cluster, and with
    /// corrupt if it was but cannot be decoded, as when sealed by another program version.
    base::result<sealed_context> open(std::string_view text) const;

    /// Maximum length of a text that open() accepts, in bytes.
    static constexpr std::size_t max_size = 2048;

private:
    aead_cipher m_cipher;
};

} // namespace damaskladder::wire
