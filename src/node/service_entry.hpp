#pragma once

#include "base/service_id.hpp"
#include "routing/backend_server.hpp"

#include <vector>

namespace damaskladder::node {

/// The announced backend servers of one service.
struct service_entry {
    base::service_id service;
    std::vector<routing::backend_server> servers;
};

} // namespace damaskladder::node
