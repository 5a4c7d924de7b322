#pragma once

#include "base/byte_count.hpp"
#include "base/importance.hpp"
#include "base/retry_count.hpp"
#include "base/route_id.hpp"
#include "base/service_id.hpp"
#include "base/time.hpp"
#include "base/workspace_id.hpp"
#include "settings/split_part.hpp"

#include <chrono>
#include <vector>

namespace damaskladder::node {

/// Settings of one route, as the traffic threads need them.
struct route_entry {
    base::route_id route;
    base::service_id service;
    /// Services that share the requests by weight; empty if all go to `service`.
    std::vector<settings::split_part> split;
    /// Needs no key and is charged no rate tokens.
    bool open = false;
    bool idempotent = true;
    base::importance importance = base::importance::normal;
    base::duration timeout{};
    /// An answer within this time has its full worth; zero if unknown.
    base::duration latency_goal{};
    /// Backend servers that may have run one request; zero for no bound but `retries`.
    base::retry_count attempts;
    /// A request that is not idempotent needs a claim in the replicated log, because a caller's own
    /// repeat counts as the same request.
    bool claimed = true;
    /// Workspaces admitted, sorted; empty admits all.
    std::vector<base::workspace_id> workspaces;
    /// Extra attempts for the whole call tree of a request.
    base::retry_count retries{3};
    base::byte_count max_body{1 << 20};
    /// Oldest settings with which a key is trusted.
    base::duration max_staleness{std::chrono::seconds(10)};
};

} // namespace damaskladder::node
