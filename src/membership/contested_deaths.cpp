#include "membership/contested_deaths.hpp"

namespace damaskladder::membership {

bool contested_deaths::add(const member_record& tombstone, base::time_point now)
{
    return m_contests.try_emplace(tombstone.node, contest{tombstone, now + m_time_to_refute})
        .second;
}

void contested_deaths::settle(const base::node_id& node)
{
    m_contests.erase(node);
}

std::vector<member_record> contested_deaths::take_unrefuted(base::time_point now)
{
    std::vector<member_record> unrefuted;
    for (auto it = m_contests.begin(); it != m_contests.end();) {
        if (now < it->second.deadline) {
            ++it;
            continue;
        }
        unrefuted.push_back(it->second.tombstone);
        it = m_contests.erase(it);
    }
    return unrefuted;
}

} // namespace damaskladder::membership
