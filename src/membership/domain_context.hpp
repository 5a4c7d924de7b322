#pragma once

#include "base/message_address.hpp"
#include "base/time.hpp"
#include "membership/endpoint.hpp"
#include "membership/member_table.hpp"

#include <vector>

namespace damaskladder::membership {

/// What the exchange between failure domains needs to know of the own one at the moment.
struct domain_context {
    const member_table& members;
    /// Relays of the own failure domain, in the order of their rank.
    std::vector<endpoint> relays;
    bool is_relay = false;
    const std::vector<base::message_address>& seeds;
    base::time_point now;
    /// Awake time, for judging silence.
    base::duration active_time;
};

} // namespace damaskladder::membership
