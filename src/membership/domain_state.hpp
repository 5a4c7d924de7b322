#pragma once

#include "membership/domain_relays.hpp"
#include "membership/reachability.hpp"

namespace damaskladder::membership {

/// What a relay tells its nodes of another failure domain.
struct domain_state {
    domain_relays contact_points;
    reachability reach = reachability::reachable;

    friend bool operator==(const domain_state&, const domain_state&) = default;
};

} // namespace damaskladder::membership
