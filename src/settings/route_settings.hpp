#pragma once

#include "base/byte_count.hpp"
#include "base/importance.hpp"
#include "base/retry_count.hpp"
#include "base/route_id.hpp"
#include "base/service_id.hpp"
#include "base/team_id.hpp"
#include "base/time.hpp"
#include "base/workspace_id.hpp"
#include "settings/once_scope.hpp"
#include "settings/path_prefix.hpp"
#include "settings/split_part.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace damaskladder::settings {

/// Compiled settings of a route.
struct route_settings {
    /// Path of the entry in the tree.
    base::route_id id;
    base::team_id team;
    path_prefix prefix;
    /// Required host name of the request; empty for any.
    std::string host;
    base::service_id service;
    /// Services that share the requests by weight; empty if all go to `service`.
    std::vector<split_part> split;
    /// Requests need no key.
    bool open = false;
    bool idempotent = false;
    /// Answers are large: `timeout` ends with the head of the answer, and the body may take long.
    bool streaming = false;
    base::importance importance = base::importance::normal;
    base::duration timeout = std::chrono::seconds(2);
    /// Target latency: answers within it have their full value. Zero if not set.
    base::duration latency_goal{};
    /// Maximum number of backend servers tried for one request; zero if only `retries` limits it.
    base::retry_count attempts;
    once_scope run_once_per = once_scope::request_id;
    /// Extra attempts for the whole call tree.
    base::retry_count retries{3};
    base::byte_count max_body{1024 * 1024};
    /// Every workspace may use the route.
    bool all_workspaces = false;
    /// Sorted.
    std::vector<base::workspace_id> workspaces;

    bool allows(const base::workspace_id& workspace) const
    {
        return open || all_workspaces ||
               std::binary_search(workspaces.begin(), workspaces.end(), workspace);
    }
};

} // namespace damaskladder::settings
