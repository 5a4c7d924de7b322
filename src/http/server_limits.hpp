#pragma once

#include "base/byte_count.hpp"
#include "base/time.hpp"

namespace damaskladder::http {

/// Bounds of one listening server. A request over a bound is refused or its connection closed.
struct server_limits {
    /// Bound of the target and of the header fields of one request; longer ones get 414 or 431.
    /// 16 KiB are what operators permit, and the rest covers fields that are added on the way.
    base::byte_count header_size{18 * 1024};
    /// Connections at a time; further ones are not accepted.
    unsigned max_connections = 2000;
    /// A connection on which nothing was sent or received for so long is closed.
    base::duration idle_time = std::chrono::seconds(30);
    /// Body bytes held in memory for one direction of one request; then the sender waits.
    base::byte_count buffer_size{64 * 1024};
};

} // namespace damaskladder::http
