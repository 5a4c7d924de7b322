#pragma once

#include "propagation/upstream_candidates.hpp"
#include "propagation/upstream_list.hpp"

namespace damaskladder::propagation {

/// Chooses the upstreams for propagation_node::set_upstreams().
///
/// A node polls the replicas of its own failure domain, which costs no bytes between failure
/// domains, with those of the others in reserve, so that no failure of a VM or failure domain cuts
/// it off. If the fleet has more nodes than the replicas can answer, nodes poll the relays of their
/// failure domain, with two replicas in reserve.
///
/// A process that knows the leader polls only the leader. It serves what it gets to its own
/// pollers, so every poller of any replica is one step from the leader. Replicas that polled each
/// other would exchange ever older settings, and a leader outside their lists would be polled by
/// nobody.
upstream_list choose_upstreams(const upstream_candidates& known);

} // namespace damaskladder::propagation
