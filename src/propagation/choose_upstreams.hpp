#pragma once

#include "propagation/peer.hpp"
#include "propagation/upstream_candidates.hpp"

#include <vector>

namespace damaskladder::propagation {

/// Chooses the upstreams for propagation_node::set_upstreams().
///
/// A process that knows the leader polls only the leader. It serves what it gets to its own
/// pollers, so every poller of any replica is one step from the leader. Replicas that polled each
/// other would exchange ever older settings, and a leader outside their lists would be polled by
/// nobody.
std::vector<peer> choose_upstreams(const upstream_candidates& known);

} // namespace damaskladder::propagation
