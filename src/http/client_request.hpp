#pragma once

#include "base/time.hpp"
#include "http/address.hpp"
#include "http/request_head.hpp"

namespace damaskladder::http {

/// A request for the client to send.
struct client_request {
    address to;
    request_head head;
    /// Maximum time from send() until a connection is established and the request may be sent. The
    /// request is not sent later, also if the process was paused meanwhile.
    base::duration connect_timeout = std::chrono::seconds(1);
    /// The connection is treated as broken when sent bytes are not acknowledged within this time;
    /// zero uses the operating system's default, which is minutes.
    base::duration unacknowledged_timeout{0};
    /// Maximum duration of the whole transfer; zero for no limit.
    base::duration timeout{0};
    /// Do not reuse an idle connection. The server may close one while a request is in flight,
    /// which leaves it unknown whether the request was processed.
    bool fresh_connection = false;
};

} // namespace damaskladder::http
