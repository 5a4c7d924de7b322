#include "wire/cluster_secret.hpp"

#include <sodium.h>

#include <fstream>
#include <sstream>

namespace damaskladder::wire {

base::result<cluster_secret> cluster_secret::parse(std::string_view text)
{
    cluster_secret parsed;
    std::size_t size = 0;
    const char* end = nullptr;
    const int failed = sodium_hex2bin(parsed.m_secret.data(), parsed.m_secret.size(), text.data(),
                                      text.size(), " \r\n\t", &size, &end);
    if (failed != 0 || size != parsed.m_secret.size() || end != text.data() + text.size()) {
        return base::fail(base::failure_kind::invalid_argument, "read cluster secret", {},
                          "expected 64 hexadecimal digits");
    }
    return parsed;
}

base::result<cluster_secret> cluster_secret::read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        return base::fail(base::failure_kind::io, "read cluster secret", path,
                          "cannot open the file");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse(text.str());
}

secret_key cluster_secret::derive(key_usage usage) const
{
    constexpr std::array<char, crypto_kdf_CONTEXTBYTES> context = {'d', 'a', 'm', 'a',
                                                                   's', 'k', 'l', 'd'};
    static_assert(std::tuple_size_v<secret_key> == crypto_kdf_KEYBYTES);
    secret_key derived{};
    crypto_kdf_derive_from_key(derived.data(), derived.size(), static_cast<std::uint64_t>(usage),
                               context.data(), m_secret.data());
    return derived;
}

} // namespace damaskladder::wire
