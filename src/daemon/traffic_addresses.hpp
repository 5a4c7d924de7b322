#pragma once

#include "http/address.hpp"

#include <optional>

namespace damaskladder::daemon {

/// Listener addresses of a traffic front end.
struct traffic_addresses {
    /// Listener for callers.
    http::address callers;
    /// Listener for other nodes.
    http::address peers;
    /// Listener for the backend server on this VM, which sends announcements and onward calls.
    /// Loopback only.
    http::address backend_server;
    /// Listener for the platform's readiness check, if it has an address of its own.
    std::optional<http::address> ready = std::nullopt;

    friend bool operator==(const traffic_addresses&, const traffic_addresses&) = default;
};

} // namespace damaskladder::daemon
