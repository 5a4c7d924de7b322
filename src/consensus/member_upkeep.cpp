#include "consensus/member_upkeep.hpp"

#include <algorithm>

namespace damaskladder::consensus {

namespace {

std::optional<base::time_point> last_heard(const replica_status& status, const replica_id& id)
{
    const auto found = std::find_if(status.contacts.begin(), status.contacts.end(),
                                    [&](const auto& contact) { return contact.id == id; });
    return found == status.contacts.end() ? std::nullopt : std::optional(found->last_heard);
}

} // namespace

void member_upkeep::join_requested(const replica_identity& identity, base::time_point now)
{
    m_joining[identity] = now;
}

void member_upkeep::leave_requested(const replica_identity& identity, base::time_point now)
{
    m_leaving[identity] = now;
}

std::optional<membership_change> member_upkeep::next(const replica_status& status,
                                                     base::time_point now)
{
    const auto is_old = [&](const auto& item) {
        return now - item.second > m_options.request_lifetime;
    };
    std::erase_if(m_joining, is_old);
    std::erase_if(m_leaving, is_old);
    if (status.role != replica_role::leader) {
        return std::nullopt;
    }
    for (const auto& [identity, asked] : m_joining) {
        const auto* present = status.members.find(identity.id);
        if ((present == nullptr || present->identity != identity) && !is_leaving(identity)) {
            return add_replica{identity};
        }
    }
    for (const auto& candidate : status.members.members) {
        if (candidate.identity != status.identity && may_go(status, candidate, now)) {
            return remove_replica{candidate.identity.id};
        }
    }
    return std::nullopt;
}

bool member_upkeep::is_leaving(const replica_identity& identity) const
{
    return m_leaving.count(identity) != 0;
}

bool member_upkeep::may_go(const replica_status& status, const member& candidate,
                           base::time_point now) const
{
    const auto heard = last_heard(status, candidate.identity.id);
    const bool silent = heard && now - *heard > m_options.silent_after;
    if (!silent && !is_leaving(candidate.identity)) {
        return false;
    }
    if (candidate.role == member_role::learner) {
        return true;
    }
    // This leader itself is one of them.
    std::size_t others = 1;
    for (const auto& each : status.members.members) {
        const auto each_heard = last_heard(status, each.identity.id);
        const bool there = each_heard && now - *each_heard <= m_options.heard_within;
        const bool counts = each.identity != candidate.identity &&
                            each.role == member_role::voter && !is_leaving(each.identity);
        others += there && counts ? 1 : 0;
    }
    return others >= m_options.fewest_voters;
}

} // namespace damaskladder::consensus
