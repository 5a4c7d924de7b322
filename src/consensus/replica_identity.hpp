#pragma once

#include "consensus/identity_nonce.hpp"
#include "consensus/replica_id.hpp"

#include <compare>

namespace damaskladder::consensus {

/// Identity of a replica and its data folder. Two identities denote the same voter only if id and
/// nonce are both equal.
struct replica_identity {
    replica_id id;
    identity_nonce nonce;

    friend auto operator<=>(const replica_identity&, const replica_identity&) = default;
};

} // namespace damaskladder::consensus
