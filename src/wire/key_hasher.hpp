#pragma once

#include "base/key_hash.hpp"
#include "wire/cluster_secret.hpp"

#include <string>
#include <string_view>

namespace damaskladder::wire {

/// Turns presented keys and operator tokens into the keyed hashes that the system stores.
class key_hasher {
public:
    /// usage is key_hashes for workspaces' keys and tokens for operators' tokens.
    key_hasher(const cluster_secret& secret, key_usage usage) : m_key(secret.derive(usage)) {}

    base::key_hash hash(std::string_view credential) const;

private:
    secret_key m_key;
};

} // namespace damaskladder::wire
