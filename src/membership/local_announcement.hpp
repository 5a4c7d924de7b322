#pragma once

#include "base/time.hpp"
#include "membership/backend_server.hpp"

namespace damaskladder::membership {

/// A backend server on this VM, with what only its own node knows.
struct local_announcement {
    backend_server backend;
    /// The server is cold until this time.
    base::time_point cold_until;
    /// Arrival of the server's last announcement.
    base::time_point announced_at;
};

} // namespace damaskladder::membership
