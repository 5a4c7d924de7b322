#pragma once

#include "base/time.hpp"
#include "http/address.hpp"
#include "http/request_head.hpp"

namespace damaskladder::http {

/// A request for the client to send.
struct client_request {
    address to;
    request_head head;
    /// Longest time to wait for the connection.
    base::duration connect_timeout = std::chrono::seconds(1);
    /// The connection counts as broken when sent bytes are not acknowledged for so long; zero
    /// leaves it to the system, which waits for minutes.
    base::duration unacknowledged_timeout{0};
    /// Longest time for the whole transfer; zero for no limit.
    base::duration timeout{0};
    /// Do not use a kept connection. A server may close a kept connection while a request is on
    /// its way, which leaves it unknown whether the request ran.
    bool fresh_connection = false;
};

} // namespace damaskladder::http
