#pragma once

#include "base/node_id.hpp"

#include <cstddef>
#include <deque>
#include <set>
#include <vector>

namespace damaskladder::membership {

/// Nodes whose records are sent with the next heartbeats. Each record is sent once to every
/// observer. Urgent updates are thereby sent a second time, in case the immediate message was lost.
class update_queue {
public:
    /// Does nothing if the node is already queued, so the number of members bounds the queue.
    void add(const base::node_id& node);

    /// Removes and returns at most `count` nodes, oldest first.
    std::vector<base::node_id> take(std::size_t count);

    std::size_t size() const { return m_order.size(); }

private:
    std::deque<base::node_id> m_order;
    std::set<base::node_id> m_queued;
};

} // namespace damaskladder::membership
