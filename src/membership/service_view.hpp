#pragma once

#include "base/service_id.hpp"
#include "membership/member_record.hpp"
#include "membership/reachability.hpp"
#include "membership/service_endpoint.hpp"

#include <map>
#include <vector>

namespace damaskladder::membership {

/// Backend servers of each service, as known to this node. Immutable once published, so any thread
/// may read it.
class service_view {
public:
    /// Adds the backend servers of an alive member; ignores tombstones. Must not be called after
    /// the view is published.
    void add(const member_record& member, reachability reach);

    /// Backend servers of a service, including draining ones; empty if none is known.
    const std::vector<service_endpoint>& endpoints(const base::service_id& service) const;
    std::vector<base::service_id> services() const;

    friend bool operator==(const service_view&, const service_view&) = default;

private:
    std::map<base::service_id, std::vector<service_endpoint>> m_services;
    std::vector<service_endpoint> m_empty;
};

} // namespace damaskladder::membership
