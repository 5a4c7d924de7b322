#pragma once

#include "base/instance_id.hpp"
#include "base/port_number.hpp"
#include "base/service_id.hpp"
#include "base/slot_count.hpp"
#include "membership/connection_count.hpp"

namespace damaskladder::membership {

/// One backend server as its own node announces it to the fleet.
struct backend_server {
    base::service_id service;
    /// Port on the node's own VM.
    base::port_number port;
    base::slot_count slots;
    connection_count connections;
    /// Just started; callers ramp up slowly.
    bool cold = false;
    /// Finishes what it has and takes no new requests.
    bool draining = false;
    /// The run of the server; empty if it named none.
    base::instance_id instance = {};

    friend bool operator==(const backend_server&, const backend_server&) = default;
};

} // namespace damaskladder::membership
