#pragma once

#include "membership/domain_relays.hpp"
#include "membership/reachability.hpp"

namespace damaskladder::membership {

/// Relays and reachability of a failure domain, as reported by a relay to the nodes of another one.
struct domain_state {
    domain_relays contact_points;
    reachability reach = reachability::reachable;

    friend bool operator==(const domain_state&, const domain_state&) = default;
};

} // namespace damaskladder::membership
