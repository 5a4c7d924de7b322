#pragma once

#include "base/failure_domain_id.hpp"
#include "base/incarnation.hpp"
#include "base/message_address.hpp"
#include "base/node_id.hpp"
#include "base/traffic_address.hpp"

namespace damaskladder::membership {

/// Identity of this node, from its settings file.
struct node_identity {
    base::node_id node;
    base::failure_domain_id domain;
    /// Start count, or wall-clock time at start in seconds.
    base::incarnation start_incarnation;
    base::message_address messages;
    base::traffic_address traffic;
    /// Failure domain of the VM if `domain` stands for a group of failure domains; otherwise empty.
    base::failure_domain_id vm_domain = {};
};

} // namespace damaskladder::membership
