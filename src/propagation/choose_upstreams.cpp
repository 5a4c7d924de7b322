#include "propagation/choose_upstreams.hpp"

#include <algorithm>
#include <iterator>

namespace damaskladder::propagation {

namespace {

/// Nodes that poll one replica directly. At two polls a second each, this costs a replica about a
/// hundredth of a core.
constexpr std::size_t max_nodes_per_replica = 64;
/// Replicas that a node behind relays may poll as well. All nodes do so at once when the leader is
/// lost, so it is a few.
constexpr std::size_t replicas_behind_relays = 2;

upstream_list split_by_failure_domain(const upstream_candidates& known)
{
    upstream_list chosen;
    const auto is_near = [&](const peer& replica) {
        const auto& near = known.near_replicas;
        return std::find(near.begin(), near.end(), replica.node) != near.end();
    };
    std::partition_copy(known.replicas.begin(), known.replicas.end(),
                        std::back_inserter(chosen.preferred), std::back_inserter(chosen.others),
                        is_near);
    if (chosen.preferred.empty()) {
        std::swap(chosen.preferred, chosen.others);
    }
    return chosen;
}

} // namespace

upstream_list choose_upstreams(const upstream_candidates& known)
{
    if (known.leader) {
        return {{*known.leader}};
    }
    auto direct = split_by_failure_domain(known);
    const bool replicas_suffice = known.fleet_size <= max_nodes_per_replica * known.replicas.size();
    if (known.relays.empty() || replicas_suffice) {
        return direct;
    }
    auto& reserve = direct.preferred;
    reserve.resize(std::min(reserve.size(), replicas_behind_relays));
    return {known.relays, reserve};
}

} // namespace damaskladder::propagation
