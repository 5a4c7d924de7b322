#pragma once

#include "http/address.hpp"

#include <optional>

namespace damaskladder::daemon {

/// Addresses that a traffic front end listens on.
struct traffic_addresses {
    /// For callers.
    http::address callers;
    /// For other nodes.
    http::address peers;
    /// For the backend server on this VM: announcements and onward calls. Loopback only.
    http::address backend_server;
    /// For the readiness check of the platform, if it has an address of its own.
    std::optional<http::address> ready = std::nullopt;
};

} // namespace damaskladder::daemon
