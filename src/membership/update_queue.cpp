#include "membership/update_queue.hpp"

#include <utility>

namespace damaskladder::membership {

void update_queue::add(const base::node_id& node)
{
    if (m_queued.insert(node).second) {
        m_order.push_back(node);
    }
}

std::vector<base::node_id> update_queue::take(std::size_t count)
{
    std::vector<base::node_id> taken;
    while (taken.size() < count && !m_order.empty()) {
        m_queued.erase(m_order.front());
        taken.push_back(std::move(m_order.front()));
        m_order.pop_front();
    }
    return taken;
}

} // namespace damaskladder::membership
