#pragma once

#include "base/instance_id.hpp"
#include "base/port_number.hpp"
#include "base/service_id.hpp"
#include "base/slot_count.hpp"
#include "base/time.hpp"
#include "membership/connection_count.hpp"
#include "membership/credential_text.hpp"
#include "membership/run_position.hpp"

namespace damaskladder::membership {

/// Announcement of a backend server to the node on its VM, renewed before the lease expires.
struct announcement {
    base::service_id service;
    base::port_number port;
    base::slot_count slots;
    connection_count connections;
    /// Cold now; until the next announcement if cold_left is zero.
    bool cold = false;
    credential_text credential;
    /// The server asks not to receive new requests.
    bool draining = false;
    /// Run of the server that sent the message, and the message's position in the order of its
    /// messages; see announcement_registry.
    base::instance_id instance = {};
    run_position position = {};
    /// Time that the server remains cold after this message; zero if it is not known or not cold.
    base::duration cold_left{};
};

} // namespace damaskladder::membership
