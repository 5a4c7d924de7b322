#include "consensus/membership_policy.hpp"

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

void membership_policy::on_join_request(const replica_identity& identity, base::time_point now)
{
    m_joining[identity] = now;
}

void membership_policy::on_leave_request(const replica_identity& identity, base::time_point now)
{
    m_leaving[identity] = now;
}

std::optional<membership_change> membership_policy::next_change(const replica_status& status,
                                                                base::time_point now)
{
    const auto is_expired = [&](const auto& item) {
        return now - item.second > m_options.request_lifetime;
    };
    std::erase_if(m_joining, is_expired);
    std::erase_if(m_leaving, is_expired);
    if (status.role != replica_role::leader) {
        return std::nullopt;
    }
    for (const auto& [identity, requested_at] : m_joining) {
        const auto* present = status.members.find(identity.id);
        if ((present == nullptr || present->identity != identity) && !is_leaving(identity)) {
            return add_replica{identity};
        }
    }
    for (const auto& candidate : status.members.members) {
        if (candidate.identity != status.identity && can_remove(status, candidate, now)) {
            return remove_replica{candidate.identity.id};
        }
    }
    return std::nullopt;
}

bool membership_policy::is_leaving(const replica_identity& identity) const
{
    return m_leaving.count(identity) != 0;
}

bool membership_policy::can_remove(const replica_status& status, const member& candidate,
                                   base::time_point now) const
{
    const auto heard = last_heard(status, candidate.identity.id);
    const bool silent = heard && now - *heard > m_options.removal_timeout;
    if (!silent && !is_leaving(candidate.identity)) {
        return false;
    }
    if (candidate.role == member_role::learner) {
        return true;
    }
    // Starts at 1 for this leader itself.
    std::size_t remaining = 1;
    for (const auto& each : status.members.members) {
        const auto each_last_heard = last_heard(status, each.identity.id);
        const bool is_live =
            each_last_heard && now - *each_last_heard <= m_options.live_voter_timeout;
        const bool counts = each.identity != candidate.identity &&
                            each.role == member_role::voter && !is_leaving(each.identity);
        remaining += is_live && counts ? 1 : 0;
    }
    return remaining >= m_options.min_remaining_voters;
}

} // namespace damaskladder::consensus
