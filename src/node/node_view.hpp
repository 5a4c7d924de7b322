#pragma once

#include "base/failure_domain_id.hpp"
#include "base/key_hash.hpp"
#include "base/key_id.hpp"
#include "base/node_id.hpp"
#include "base/share_weight.hpp"
#include "base/time.hpp"
#include "base/workspace_id.hpp"
#include "node/key_entry.hpp"
#include "node/local_backend_server.hpp"
#include "node/route_entry.hpp"
#include "node/service_entry.hpp"

#include <functional>
#include <string_view>
#include <vector>

namespace damaskladder::node {

/// What the control thread knows, as one immutable value. The control thread publishes a new one
/// after each change; the traffic threads read the newest and never wait for it. The hooks must be
/// safe to call from several threads, and what they return lives as long as the view.
struct node_view {
    base::node_id self;
    base::failure_domain_id own_domain;
    /// The settings are at least as new as the accepted settings at this time of the local clock.
    base::time_point settings_confirmed_at;
    /// False until the first settings have arrived; without them nothing can be said of a request.
    bool settings_known = true;
    /// Longest matching path prefix of a host; null if there is none.
    std::function<const route_entry*(std::string_view path, std::string_view host)> match_route;
    /// Also finds withdrawn keys; null if there is no such key.
    std::function<const key_entry*(const base::key_hash& key)> find_key;
    std::function<bool(const base::key_id& key)> key_active;
    std::function<base::share_weight(const base::workspace_id& workspace)> weight_of;
    /// Importance of a request by that of its route and its workspace. Without the hook, that of
    /// the route.
    std::function<base::importance(base::importance, const base::workspace_id&)> importance_of;
    /// Sorted by service.
    std::vector<service_entry> services;
    /// Backend servers on this VM; usually one.
    std::vector<local_backend_server> local;

    /// Null if no backend server of the service is known.
    const service_entry* find_service(const base::service_id& service) const;

    /// Null if this VM has no announced backend server of the service.
    const local_backend_server* find_local(const base::service_id& service) const;
};

} // namespace damaskladder::node
