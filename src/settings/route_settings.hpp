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

/// A route as nodes use it.
struct route_settings {
    /// Path of the entry in the tree.
    base::route_id id;
    base::team_id team;
    path_prefix prefix;
    /// Host name that the request must name; empty for any.
    std::string host;
    base::service_id service;
    /// Services that share the requests by weight; empty if all go to `service`.
    std::vector<split_part> split;
    /// No key is needed.
    bool open = false;
    bool idempotent = false;
    base::importance importance = base::importance::normal;
    base::duration timeout = std::chrono::seconds(2);
    /// An answer within this time has its full worth; zero if the operator set none.
    base::duration latency_goal{};
    /// Backend servers to which one request may be sent; zero for no bound but `retries`.
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
