#include "membership/repair_monitor.hpp"

namespace damaskladder::membership {

repair_monitor::repair_monitor(base::duration least_interval, base::duration longest_difference)
    : m_least_interval(least_interval), m_longest_difference(longest_difference)
{
}

bool repair_monitor::compare(const base::node_id& neighbour, table_digest theirs, table_digest mine,
                             base::time_point now)
{
    if (theirs == mine) {
        m_differences.erase(neighbour);
        return false;
    }
    auto [found, first] = m_differences.try_emplace(neighbour, difference{theirs, mine, now});
    if (first) {
        return false;
    }
    difference& held = found->second;
    const bool standing = held.theirs == theirs && held.mine == mine;
    held.theirs = theirs;
    held.mine = mine;
    const bool long_lasting = now - held.since >= m_longest_difference;
    if ((!standing && !long_lasting) || !ask_now(now)) {
        return false;
    }
    m_differences.erase(found);
    return true;
}

bool repair_monitor::ask_now(base::time_point now)
{
    if (now < m_next) {
        return false;
    }
    m_next = now + m_least_interval;
    return true;
}

void repair_monitor::forget(const base::node_id& neighbour)
{
    m_differences.erase(neighbour);
}

} // namespace damaskladder::membership
