#pragma once

#include "membership/domain_state.hpp"

#include <vector>

namespace damaskladder::membership {

/// Answer of a relay to a subscribe message. Also sent to subscribers when the reachability of a
/// failure domain changes.
struct domain_states {
    /// True if the receiver already has all states; the list is then empty.
    bool unchanged = false;
    std::vector<domain_state> states;

    friend bool operator==(const domain_states&, const domain_states&) = default;
};

} // namespace damaskladder::membership
