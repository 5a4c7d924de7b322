#pragma once

#include "consensus/member_role.hpp"
#include "consensus/replica_identity.hpp"

namespace damaskladder::consensus {

/// Member of a configuration.
struct member {
    replica_identity identity;
    member_role role = member_role::learner;

    friend bool operator==(const member&, const member&) = default;
};

} // namespace damaskladder::consensus
