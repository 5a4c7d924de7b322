#pragma once

#include "base/incarnation.hpp"
#include "base/node_id.hpp"
#include "lease/lease_epoch.hpp"

namespace damaskladder::quota {

/// Identifies one term of a domain's lease. Ids are never reused. Tokens, sessions and transfers of
/// one term are not valid in any other.
struct holder_id {
    base::node_id node;
    base::incarnation incarnation;
    lease::lease_epoch epoch;

    friend bool operator==(const holder_id&, const holder_id&) = default;
};

} // namespace damaskladder::quota
