#pragma once

#include "base/failure_domain_id.hpp"
#include "base/incarnation.hpp"
#include "base/node_id.hpp"
#include "base/slot_count.hpp"

namespace damaskladder::routing {

/// One announced backend server as a router sees it. What it says about itself may lag or mislead.
struct backend_server {
    /// The gatekeeper in front of it.
    base::node_id node;
    /// Distinguishes a restarted backend server from its earlier run.
    base::incarnation incarnation;
    base::failure_domain_id domain;
    base::slot_count slots;
    /// Slots in use when it last reported.
    base::slot_count reported_load;
    /// Drains or leaves; receives no new work.
    bool draining = false;
};

} // namespace damaskladder::routing
