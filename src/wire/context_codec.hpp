#pragma once

#include "base/result.hpp"
#include "wire/aead_cipher.hpp"
#include "wire/sealed_context.hpp"

#include <string>
#include <string_view>

namespace damaskladder::wire {

/// Seals request contexts into header values and opens them again.
class context_codec {
public:
    explicit context_codec(const cluster_secret& secret)
        : m_cipher(secret.derive(key_usage::request_context))
    {
    }

    /// Base64 text without padding.
    std::string seal(const sealed_context& context) const;

    /// Fails with permission_denied if the text was not sealed by a node of this cluster, and with
    /// corrupt if it was but cannot be understood (another program version).
    base::result<sealed_context> open(std::string_view text) const;

    /// Longest text that open() looks at, in bytes.
    static constexpr std::size_t max_size = 2048;

private:
    aead_cipher m_cipher;
};

} // namespace damaskladder::wire
