#pragma once

#include "base/byte_count.hpp"
#include "base/time.hpp"

#include <cstddef>

namespace damaskladder::bus {

/// Limits of a message_bus.
struct bus_limits {
    /// Maximum size of a received message. A connection that announces a larger one is closed.
    base::byte_count message_size{8 * 1024 * 1024};
    /// Maximum bytes of incomplete messages held for all connections together. A connection whose
    /// bytes exceed it is closed.
    base::byte_count incomplete_size{32 * 1024 * 1024};
    /// Maximum bytes queued for one peer; messages that do not fit are dropped. The largest
    /// messages are parts of the settings, of which a few are in flight at a time.
    base::byte_count queue_size{4 * 1024 * 1024};
    /// Maximum number of peers with an open connection; a new peer replaces the least recently used
    /// one.
    std::size_t max_peers = 512;
    /// Maximum time to connect: about a hundred round trips within a region.
    base::duration connect_timeout{std::chrono::milliseconds(300)};
    /// A connection on which sent bytes are not acknowledged within this time is closed and
    /// reopened. TCP itself backs off exponentially: after a network partition it may retransmit
    /// only after as long again as the partition lasted.
    base::duration unacknowledged_timeout{std::chrono::seconds(1)};
    /// Delay before the next connection attempt; doubled each time up to the maximum. Messages sent
    /// during the delay are dropped, so with connect_timeout it is at most the interval at which
    /// the protocols on top repeat a message, 500 ms.
    base::duration min_reconnect_delay{std::chrono::milliseconds(50)};
    base::duration max_reconnect_delay{std::chrono::milliseconds(200)};
};

} // namespace damaskladder::bus
