#pragma once

#include "base/node_id.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace damaskladder::membership {

/// Assignment of observers to the alive members of a failure domain. Each node is observed by its
/// successors on k hash rings, so the edges form an expander graph: an update reaches 373 nodes in
/// about four hops. A node has k distinct observers, or all other nodes if there are fewer than k.
/// Nodes with equal member sets compute equal rings. Construction takes O(n k log n).
class observer_rings {
public:
    /// `members` may be in any order.
    observer_rings(const std::vector<base::node_id>& members, std::size_t ring_count);

    /// Empty if the node is not a member.
    const std::vector<base::node_id>& observers_of(const base::node_id& node) const;
    const std::vector<base::node_id>& observed_by(const base::node_id& node) const;

private:
    std::map<base::node_id, std::vector<base::node_id>> m_observers;
    std::map<base::node_id, std::vector<base::node_id>> m_observed;
    std::vector<base::node_id> m_empty;
};

} // namespace damaskladder::membership
