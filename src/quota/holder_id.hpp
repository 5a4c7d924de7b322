#pragma once

#include "base/incarnation.hpp"
#include "base/node_id.hpp"
#include "lease/lease_epoch.hpp"

namespace damaskladder::quota {

/// Identifies one holding of a domain's lease for good. Tokens, sessions and transfers of one
/// holding mean nothing to any other.
struct holder_id {
    base::node_id node;
    base::incarnation incarnation;
    lease::lease_epoch epoch;

    friend bool operator==(const holder_id&, const holder_id&) = default;
};

} // namespace damaskladder::quota
