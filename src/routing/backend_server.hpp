#pragma once

#include "base/failure_domain_id.hpp"
#include "base/incarnation.hpp"
#include "base/node_id.hpp"
#include "base/slot_count.hpp"

namespace damaskladder::routing {

/// An announced backend server. The self-reported fields may be outdated or wrong.
struct backend_server {
    /// Node whose gatekeeper fronts the server.
    base::node_id node;
    /// Distinguishes a restarted backend server from its previous run.
    base::incarnation incarnation;
    base::failure_domain_id domain;
    base::slot_count slots;
    /// Slots in use at the last report.
    base::slot_count reported_load;
    /// The server is draining or leaving and gets no new calls.
    bool draining = false;
    /// The server started recently and gets a small part of the requests.
    bool cold = false;
};

} // namespace damaskladder::routing
