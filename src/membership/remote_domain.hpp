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

/// What a node holds of one other failure domain.
struct remote_domain {
    explicit remote_domain(std::size_t capacity) : members(capacity) {}

    member_table members;
    std::vector<endpoint> relays;
    reachability reach = reachability::unreachable;
    /// Awake time at which it was last heard of.
    base::duration last_contact{};
    /// Relays that said hello; only those in relays are kept.
    std::map<base::node_id, relay_link> links;
    summary_assembler pending_summaries;
};

} // namespace damaskladder::membership
