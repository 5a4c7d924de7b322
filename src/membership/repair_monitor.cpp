#include "membership/repair_monitor.hpp"

namespace damaskladder::membership {

repair_monitor::repair_monitor(base::duration min_interval, base::duration max_difference_age)
    : m_min_interval(min_interval), m_max_difference_age(max_difference_age)
{
}

bool repair_monitor::compare(const base::node_id& peer, table_digest theirs, table_digest mine,
                             base::time_point now)
{
    if (theirs == mine) {
        m_differences.erase(peer);
        return false;
    }
    auto [found, inserted] = m_differences.try_emplace(peer, difference{theirs, mine, now});
    if (inserted) {
        return false;
    }
    difference& held = found->second;
    const bool unchanged = held.theirs == theirs && held.mine == mine;
    held.theirs = theirs;
    held.mine = mine;
    const bool overdue = now - held.since >= m_max_difference_age;
    if ((!unchanged && !overdue) || !try_start_repair(now)) {
        return false;
    }
    m_differences.erase(found);
    return true;
}

bool repair_monitor::try_start_repair(base::time_point now)
{
    if (now < m_next) {
        return false;
    }
    m_next = now + m_min_interval;
    return true;
}

void repair_monitor::forget(const base::node_id& peer)
{
    m_differences.erase(peer);
}

} // namespace damaskladder::membership
