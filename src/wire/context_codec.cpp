#include "wire/context_codec.hpp"

#include "wire/context_encoding.hpp"

#include <sodium.h>

namespace damaskladder::wire {

namespace {

constexpr int base64_variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;

std::string to_base64(std::string_view data)
{
    std::string text(sodium_base64_encoded_len(data.size(), base64_variant), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(data.data()),
                      data.size(), base64_variant);
    text.pop_back();
    return text;
}

std::optional<std::string> from_base64(std::string_view text)
{
    std::string data(text.size(), '\0');
    std::size_t size = 0;
    const char* end = nullptr;
    const int failed =
        sodium_base642bin(reinterpret_cast<unsigned char*>(data.data()), data.size(), text.data(),
                          text.size(), nullptr, &size, &end, base64_variant);
    if (failed != 0 || end != text.data() + text.size()) {
        return std::nullopt;
    }
    data.resize(size);
    return data;
}

} // namespace

std::string context_codec::seal(const sealed_context& context) const
{
    return to_base64(m_cipher.seal(encode_context(context)));
}

base::result<sealed_context> context_codec::open(std::string_view text) const
{
    const auto authentication_failure = [] {
        return base::fail(base::failure_kind::permission_denied, "open request context", {},
                          "not sealed by a node of this cluster");
    };
    if (text.size() > max_size) {
        return authentication_failure();
    }
    const auto sealed = from_base64(text);
    const auto plain = sealed ? m_cipher.open(*sealed) : std::nullopt;
    if (!plain) {
        return authentication_failure();
    }
    return decode_context(*plain);
}

} // namespace damaskladder::wire
