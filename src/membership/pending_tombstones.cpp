#include "membership/pending_tombstones.hpp"

namespace damaskladder::membership {

bool pending_tombstones::add(const member_record& tombstone, base::time_point now)
{
    return m_pending
        .try_emplace(tombstone.node, pending_tombstone{tombstone, now + m_refutation_timeout})
        .second;
}

void pending_tombstones::discard(const base::node_id& node)
{
    m_pending.erase(node);
}

std::vector<member_record> pending_tombstones::take_unrefuted(base::time_point now)
{
    std::vector<member_record> unrefuted;
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        if (now < it->second.deadline) {
            ++it;
            continue;
        }
        unrefuted.push_back(it->second.tombstone);
        it = m_pending.erase(it);
    }
    return unrefuted;
}

} // namespace damaskladder::membership
