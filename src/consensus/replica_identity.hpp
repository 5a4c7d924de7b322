#pragma once

#include "consensus/identity_nonce.hpp"
#include "consensus/replica_id.hpp"

#include <compare>

namespace damaskladder::consensus {

/// A replica together with its data folder. Only an exact match counts as the same voter.
struct replica_identity {
    replica_id id;
    identity_nonce nonce;

    friend auto operator<=>(const replica_identity&, const replica_identity&) = default;
};

} // namespace damaskladder::consensus
