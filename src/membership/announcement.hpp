#pragma once

#include "base/instance_id.hpp"
#include "base/port_number.hpp"
#include "base/service_id.hpp"
#include "base/slot_count.hpp"
#include "membership/connection_count.hpp"
#include "membership/credential_text.hpp"
#include "membership/run_position.hpp"

namespace damaskladder::membership {

/// What a backend server says of itself to its own node, repeated within the lease.
struct announcement {
    base::service_id service;
    base::port_number port;
    base::slot_count slots;
    connection_count connections;
    bool cold = false;
    credential_text credential;
    /// The server asks for no new requests.
    bool draining = false;
    /// The run that speaks, and where in its life; see announcement_lease.
    base::instance_id instance = {};
    run_position position = {};
};

} // namespace damaskladder::membership
