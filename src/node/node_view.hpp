#pragma once

#include "base/failure_domain_id.hpp"
#include "base/key_hash.hpp"
#include "base/key_id.hpp"
#include "base/node_id.hpp"
#include "base/settings_version.hpp"
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

/// Immutable snapshot of the control state. The control thread publishes a new one after each
/// change; the traffic threads read the newest one without waiting. The hooks must be safe to call
/// from several threads, and the pointers they return are valid as long as the view.
struct node_view {
    base::node_id self;
    base::failure_domain_id own_domain;
    /// Start of this node. Requests that its VM sent to the backend servers before are unknown.
    base::time_point started_at;
    /// Version of the settings; 0 if none have arrived.
    base::settings_version settings_version;
    /// The settings include everything that was accepted up to this time of the local clock.
    base::time_point settings_confirmed_at;
    /// Route with the longest path prefix that matches for a host; null if there is none.
    std::function<const route_entry*(std::string_view path, std::string_view host)> match_route;
    /// Also finds withdrawn keys; null if there is no such key.
    std::function<const key_entry*(const base::key_hash& key)> find_key;
    std::function<bool(const base::key_id& key)> key_active;
    std::function<base::share_weight(const base::workspace_id& workspace)> weight_of;
    /// Importance of a request, from that of its route and its workspace. If the hook is not set,
    /// the importance of the route is used.
    std::function<base::importance(base::importance, const base::workspace_id&)> importance_of;
    /// Sorted by service.
    std::vector<service_entry> services;
    /// Backend servers on this VM; usually one.
    std::vector<local_backend_server> local;

    /// Whether any settings have arrived. Requests cannot be checked without settings.
    bool settings_known() const { return settings_version != base::settings_version(); }

    /// Returns null if no backend server of the service is known.
    const service_entry* find_service(const base::service_id& service) const;

    /// Returns null if this VM has no announced backend server of the service.
    const local_backend_server* find_local(const base::service_id& service) const;
};

} // namespace damaskladder::node
