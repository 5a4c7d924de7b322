#pragma once

#include "base/node_id.hpp"
#include "propagation/peer.hpp"

#include <cstddef>
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
    /// Those of the replicas that run in the own failure domain and are alive.
    std::vector<base::node_id> near_replicas = {};
    /// Alive nodes of the fleet.
    std::size_t fleet_size = 0;
};

} // namespace damaskladder::propagation
