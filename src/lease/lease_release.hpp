#pragma once

#include "base/incarnation.hpp"
#include "base/node_id.hpp"
#include "lease/lease_epoch.hpp"
#include "lease/lease_resource.hpp"

namespace damaskladder::lease {

/// Releases the grant of one epoch. Sent only after the candidate has stopped holding it.
struct lease_release {
    lease_resource resource;
    base::node_id candidate;
    base::incarnation incarnation;
    lease_epoch epoch;

    friend bool operator==(const lease_release&, const lease_release&) = default;
};

} // namespace damaskladder::lease
