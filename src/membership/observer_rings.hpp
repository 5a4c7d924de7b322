#pragma once

#include "base/node_id.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace damaskladder::membership {

/// Who observes whom among the alive members of one failure domain. Each node is observed by its
/// successors on k hash rings, so that the edges form an expander: news crosses 373 nodes in about
/// four hops. A node has k distinct observers, or all others if there are fewer. Nodes with equal
/// member sets compute equal rings. Building costs O(n k log n).
class observer_rings {
public:
    /// Members need not be sorted.
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
