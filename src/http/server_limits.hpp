#pragma once

#include "base/byte_count.hpp"
#include "base/time.hpp"

namespace damaskladder::http {

/// Limits of a server. A request that exceeds a limit is rejected or its connection closed.
struct server_limits {
    /// Maximum size of the target and of the header fields of one request; larger ones get 414 or
    /// 431. Operators allow 16 KiB; the rest is for fields added by intermediate hops.
    base::byte_count header_size{18 * 1024};
    /// Maximum concurrent connections; further ones are not accepted.
    unsigned max_connections = 2000;
    /// A connection on which nothing was sent or received for this long is closed.
    base::duration idle_time = std::chrono::seconds(30);
    /// Maximum body bytes buffered per request and direction; beyond it the sender has to wait.
    base::byte_count buffer_size{64 * 1024};
    /// Maximum requests of one connection that are open at once. With 1, the next request is read
    /// only after the response.
    unsigned requests_ahead = 1;
    /// While the bodies and responses of one connection that wait for earlier responses hold at
    /// least this many bytes, no further request is read and no further output is accepted for
    /// them.
    base::byte_count waiting_size{256 * 1024};
};

} // namespace damaskladder::http
