#pragma once

#include "base/port_number.hpp"
#include "base/service_id.hpp"
#include "base/slot_count.hpp"
#include "membership/connection_count.hpp"
#include "membership/credential_text.hpp"

namespace damaskladder::membership {

/// What a backend server says of itself to its own node, repeated within the lease.
struct announcement {
    base::service_id service;
    base::port_number port;
    base::slot_count slots;
    connection_count connections;
    bool cold = false;
    credential_text credential;
};

} // namespace damaskladder::membership
