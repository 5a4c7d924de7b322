#pragma once

#include "base/failure_domain_id.hpp"
#include "base/node_id.hpp"
#include "base/service_id.hpp"
#include "http/address.hpp"
#include "node/node_view.hpp"

#include <memory>
#include <set>
#include <unordered_map>

namespace damaskladder::daemon {

/// Immutable view that the control thread publishes to the traffic thread: the view of the traffic
/// state machine and the addresses that only the front end needs.
struct traffic_view {
    std::shared_ptr<const node::node_view> node;
    /// Peer address of each node that is the gatekeeper of a backend server.
    std::unordered_map<base::node_id, http::address> gatekeepers;
    /// Loopback address of the backend server of each service on this VM.
    std::unordered_map<base::service_id, http::address> local;
    /// Failure domains whose backend servers get no new requests.
    std::set<base::failure_domain_id> evacuated;
};

} // namespace damaskladder::daemon
