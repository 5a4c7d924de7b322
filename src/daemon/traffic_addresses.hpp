#pragma once

#include "http/address.hpp"

namespace damaskladder::daemon {

/// Addresses that a traffic front end listens on.
struct traffic_addresses {
    /// For callers.
    http::address callers;
    /// For other nodes.
    http::address peers;
    /// For the backend server on this VM: announcements and onward calls. Loopback only.
    http::address backend_server;
};

} // namespace damaskladder::daemon
