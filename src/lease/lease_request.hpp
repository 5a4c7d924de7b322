#pragma once

#include "base/incarnation.hpp"
#include "base/node_id.hpp"
#include "lease/lease_epoch.hpp"
#include "lease/lease_resource.hpp"
#include "lease/lease_round.hpp"

namespace damaskladder::lease {

/// Requests that a voter grant or renew a lease.
struct lease_request {
    lease_resource resource;
    base::node_id candidate;
    base::incarnation incarnation;
    lease_epoch epoch;
    lease_round round;
    /// The candidate already holds this epoch, by a majority of the voters.
    bool renewal = false;

    friend bool operator==(const lease_request&, const lease_request&) = default;
};

} // namespace damaskladder::lease
