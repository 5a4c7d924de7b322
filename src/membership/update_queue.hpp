#pragma once

#include "base/node_id.hpp"

#include <cstddef>
#include <deque>
#include <set>
#include <vector>

namespace damaskladder::membership {

/// Nodes whose records ride on the next heartbeats. Each is sent once to every observer, which
/// repeats urgent news in case the immediate message was lost.
class update_queue {
public:
    /// Bounded by the number of members, because a node is queued at most once.
    void add(const base::node_id& node);

    /// Takes at most count nodes, oldest first.
    std::vector<base::node_id> take(std::size_t count);

    std::size_t size() const { return m_order.size(); }

private:
    std::deque<base::node_id> m_order;
    std::set<base::node_id> m_queued;
};

} // namespace damaskladder::membership
