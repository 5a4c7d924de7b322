#pragma once

#include "base/service_id.hpp"
#include "membership/member_record.hpp"
#include "membership/reachability.hpp"
#include "membership/service_endpoint.hpp"

#include <map>
#include <vector>

namespace damaskladder::membership {

/// The backend servers of each service as this node knows them. Immutable once published; any
/// thread may read it.
class service_view {
public:
    /// Adds the backend servers of an alive member; of a tombstone, nothing. Only before the view
    /// is published.
    void add(const member_record& member, reachability reach);

    /// Backend servers of a service; empty if none is known. Includes those that drain.
    const std::vector<service_endpoint>& endpoints(const base::service_id& service) const;
    std::vector<base::service_id> services() const;

    friend bool operator==(const service_view&, const service_view&) = default;

private:
    std::map<base::service_id, std::vector<service_endpoint>> m_services;
    std::vector<service_endpoint> m_empty;
};

} // namespace damaskladder::membership
