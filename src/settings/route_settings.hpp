#pragma once

#include "base/byte_count.hpp"
#include "base/importance.hpp"
#include "base/retry_count.hpp"
#include "base/route_id.hpp"
#include "base/service_id.hpp"
#include "base/team_id.hpp"
#include "base/time.hpp"
#include "base/workspace_id.hpp"
#include "settings/path_prefix.hpp"

#include <algorithm>
#include <vector>

namespace damaskladder::settings {

/// A route as nodes use it.
struct route_settings {
    /// Path of the entry in the tree.
    base::route_id id;
    base::team_id team;
    path_prefix prefix;
    base::service_id service;
    /// No key is needed.
    bool open = false;
    bool idempotent = false;
    base::importance importance = base::importance::normal;
    base::duration timeout = std::chrono::seconds(2);
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
