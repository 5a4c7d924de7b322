#pragma once

#include "base/service_id.hpp"

namespace damaskladder::node {

/// Event: the local backend server of a service starts to drain. No new calls are sent to it.
struct drain_requested {
    base::service_id service;
};

} // namespace damaskladder::node
