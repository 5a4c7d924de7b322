#include "node/node_view.hpp"

#include <algorithm>

namespace damaskladder::node {

const service_entry* node_view::find_service(const base::service_id& service) const
{
    auto found = std::lower_bound(
        services.begin(), services.end(), service,
        [](const service_entry& entry, const base::service_id& id) { return entry.service < id; });
    return found != services.end() && found->service == service ? &*found : nullptr;
}

const local_backend_server* node_view::find_local(const base::service_id& service) const
{
    auto found = std::find_if(local.begin(), local.end(), [&](const local_backend_server& entry) {
        return entry.service == service;
    });
    return found != local.end() ? &*found : nullptr;
}

} // namespace damaskladder::node
