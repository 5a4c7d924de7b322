#pragma once

#include "base/message_address.hpp"
#include "base/time.hpp"
#include "membership/endpoint.hpp"
#include "membership/member_table.hpp"

#include <vector>

namespace damaskladder::membership {

/// Current state of the local failure domain, as used by domain_exchange.
struct domain_context {
    const member_table& members;
    /// Relays of the local failure domain, in the order of their ids.
    std::vector<endpoint> relays;
    bool is_relay = false;
    const std::vector<base::message_address>& seeds;
    base::time_point now;
    /// Active time of this process, for detecting timeouts.
    base::duration active_time;
};

} // namespace damaskladder::membership
