#pragma once

#include "base/failure_domain_id.hpp"
#include "base/incarnation.hpp"
#include "base/message_address.hpp"
#include "base/node_id.hpp"
#include "base/traffic_address.hpp"
#include "membership/backend_server.hpp"
#include "membership/load_level.hpp"
#include "membership/reachability.hpp"

namespace damaskladder::membership {

/// Backend server of a service, with the node on its VM.
struct service_endpoint {
    base::node_id node;
    base::incarnation incarnation;
    base::failure_domain_id domain;
    base::message_address messages;
    base::traffic_address traffic;
    reachability reach = reachability::reachable;
    load_level load = load_level::normal;
    backend_server backend;

    friend bool operator==(const service_endpoint&, const service_endpoint&) = default;
};

} // namespace damaskladder::membership
