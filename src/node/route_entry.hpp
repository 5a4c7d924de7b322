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

/// Settings of one route in the form that the traffic threads use.
struct route_entry {
    base::route_id route;
    base::service_id service;
    /// Services that share the requests by weight; empty if all go to `service`.
    std::vector<settings::split_part> split;
    /// Requests need no key and no rate token.
    bool open = false;
    bool idempotent = true;
    /// Answers are large: once the head has arrived, the body may take traffic_options::
    /// max_streaming_time.
    bool streaming = false;
    base::importance importance = base::importance::normal;
    base::duration timeout{};
    /// Target for the response time; zero if none is set.
    base::duration latency_goal{};
    /// Limit for the attempts of one request that may have run; zero for no limit except `retries`.
    base::retry_count attempts;
    /// Whether a request that is not idempotent needs a claim in the replicated log. It does if a
    /// repeat sent by the caller counts as the same request.
    bool claimed = true;
    /// Admitted workspaces, sorted; empty if all are admitted.
    std::vector<base::workspace_id> workspaces;
    /// Extra attempts allowed for the whole call tree of a request.
    base::retry_count retries{3};
    base::byte_count max_body{1 << 20};
    /// Maximum age of the settings with which keys are validated.
    base::duration max_staleness{std::chrono::seconds(10)};
};

} // namespace damaskladder::node
