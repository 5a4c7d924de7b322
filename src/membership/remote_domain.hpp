#pragma once

#include "base/node_id.hpp"
#include "base/time.hpp"
#include "membership/endpoint.hpp"
#include "membership/member_table.hpp"
#include "membership/reachability.hpp"
#include "membership/relay_link.hpp"
#include "membership/summary_assembler.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace damaskladder::membership {

/// State that a node keeps for another failure domain.
struct remote_domain {
    explicit remote_domain(std::size_t capacity) : members(capacity) {}

    member_table members;
    std::vector<endpoint> relays;
    reachability reach = reachability::unreachable;
    /// Active time of the last contact with the failure domain, direct or reported by another
    /// relay.
    base::duration last_contact{};
    /// State per relay that sent a hello. Entries of nodes that are not in `relays` are removed.
    std::map<base::node_id, relay_link> links;
    summary_assembler pending_summaries;
};

} // namespace damaskladder::membership
