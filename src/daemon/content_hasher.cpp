#include "daemon/content_hasher.hpp"

#include <sodium.h>

#include <array>
#include <string>

namespace damaskladder::daemon {

namespace {

constexpr std::size_t hash_size = 32;

void add(crypto_generichash_state& state, std::string_view part)
{
    // Each part is prefixed with its length, so that requests whose concatenated parts are equal
    // but split differently have different hashes.
    const auto size = std::to_string(part.size()) + ":";
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(size.data()),
                              size.size());
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(part.data()),
                              part.size());
}

} // namespace

base::content_hash hash_content(const http::request_head& head, std::string_view body)
{
    crypto_generichash_state state;
    crypto_generichash_init(&state, nullptr, 0, hash_size);
    add(state, head.method);
    add(state, head.target);
    add(state, head.body_size ? std::to_string(head.body_size->value()) : "chunked");
    add(state, body);
    std::string digest(hash_size, '\0');
    crypto_generichash_final(&state, reinterpret_cast<unsigned char*>(digest.data()),
                             digest.size());
    return base::content_hash(digest);
}

} // namespace damaskladder::daemon
