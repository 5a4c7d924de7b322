#pragma once

#include "propagation/peer.hpp"

#include <optional>
#include <vector>

namespace damaskladder::propagation {

/// Processes from which a process may get the newest settings.
struct upstream_candidates {
    /// Leader of the control replicas. Known only to a process with a replica; the peer that stands
    /// for its own source if it leads itself.
    std::optional<peer> leader;
    /// Relays of the own failure domain.
    std::vector<peer> relays;
    /// Control replicas, whether or not they lead.
    std::vector<peer> replicas;
};

} // namespace damaskladder::propagation
