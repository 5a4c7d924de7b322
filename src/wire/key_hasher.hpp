#pragma once

#include "base/key_hash.hpp"
#include "wire/cluster_secret.hpp"

#include <string>
#include <string_view>

namespace damaskladder::wire {

/// Computes the keyed hashes under which workspace keys and operator tokens are stored.
class key_hasher {
public:
    /// usage is key_hashes for workspace keys and tokens for operator tokens.
    key_hasher(const cluster_secret& secret, key_usage usage) : m_key(secret.derive(usage)) {}

    base::key_hash hash(std::string_view credential) const;

private:
    secret_key m_key;
};

} // namespace damaskladder::wire
