#pragma once

#include "base/service_id.hpp"
#include "membership/member_record.hpp"
#include "membership/table_digest.hpp"

#include <set>

namespace damaskladder::membership {

/// Services whose backend servers in other failure domains a node needs to know.
struct service_subscription {
    /// Subscribes to every service; suitable for small fleets.
    bool all = false;
    std::set<base::service_id> services;

    /// True if the record announces a service of the subscription.
    bool matches(const member_record& record) const;
    /// Extends the subscription to its union with `other`.
    void add(const service_subscription& other);
    table_digest digest() const;

    friend bool operator==(const service_subscription&, const service_subscription&) = default;
};

} // namespace damaskladder::membership
