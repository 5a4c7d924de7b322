#pragma once

#include "base/instance_id.hpp"
#include "base/port_number.hpp"
#include "base/service_id.hpp"
#include "base/slot_count.hpp"
#include "membership/connection_count.hpp"

namespace damaskladder::membership {

/// Backend server as announced to the fleet by the node on its VM.
struct backend_server {
    base::service_id service;
    /// Port on the node's own VM.
    base::port_number port;
    base::slot_count slots;
    connection_count connections;
    /// Recently started; callers increase their load gradually.
    bool cold = false;
    /// Completes its current requests and accepts no new ones.
    bool draining = false;
    /// Id of the server's current run; empty if the server reported none.
    base::instance_id instance = {};

    friend bool operator==(const backend_server&, const backend_server&) = default;
};

} // namespace damaskladder::membership
