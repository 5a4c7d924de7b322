#pragma once

#include "admission/requests_per_second.hpp"
#include "base/instance_id.hpp"
#include "base/service_id.hpp"

#include <optional>

namespace damaskladder::node {

/// Event: what a backend server said of itself in an answer.
struct backend_state_reported {
    base::service_id service;
    /// Run that the request was sent to; empty if the server reported none.
    base::instance_id instance;
    /// Rate that it takes from all VMs together; none if it takes what it can.
    std::optional<admission::requests_per_second> rate;
    /// False if the answer names a rate that cannot be read; the rate in force then stays.
    bool rate_valid = true;
    /// It leaves and must get no new requests.
    bool leaving = false;
};

} // namespace damaskladder::node
