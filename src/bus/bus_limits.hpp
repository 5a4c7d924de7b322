#pragma once

#include "base/byte_count.hpp"
#include "base/time.hpp"

#include <cstddef>

namespace damaskladder::bus {

/// Bounds of a message_bus.
struct bus_limits {
    /// Longest message that is taken. A connection that announces a longer one is closed.
    base::byte_count message_size{8 * 1024 * 1024};
    /// Messages that wait for one peer; what does not fit is dropped. The largest are parts of
    /// settings, of which a few are under way at a time.
    base::byte_count queue_size{4 * 1024 * 1024};
    /// Peers to which a connection is kept; the one unused for longest is closed for a new one.
    std::size_t max_peers = 512;
    /// Longest time for a connection: a hundred round trips within a region.
    base::duration connect_timeout{std::chrono::milliseconds(300)};
    /// A connection on which sent bytes are not acknowledged for so long is made anew. After a cut,
    /// TCP would try again only after as long as the cut has lasted.
    base::duration unacknowledged_timeout{std::chrono::seconds(1)};
    /// Pause before another try to connect; doubled each time up to the longest one.
    base::duration min_reconnect_delay{std::chrono::milliseconds(50)};
    base::duration max_reconnect_delay{std::chrono::milliseconds(800)};
};

} // namespace damaskladder::bus
