#pragma once

#include "membership/domain_state.hpp"

#include <vector>

namespace damaskladder::membership {

/// Answer of a relay to subscribe, and sent when the reachability of a failure domain changes.
struct domain_states {
    /// The receiver has all states already; the list is empty.
    bool unchanged = false;
    std::vector<domain_state> states;

    friend bool operator==(const domain_states&, const domain_states&) = default;
};

} // namespace damaskladder::membership
