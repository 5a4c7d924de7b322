#include "consensus/membership_policy.hpp"

#include <algorithm>

namespace damaskladder::consensus {

namespace {

/// The identity to be added, or the id to be removed with no nonce.
replica_identity subject_of(const membership_change& change)
{
    if (const auto* added = std::get_if<add_replica>(&change)) {
        return added->identity;
    }
    return {std::get<remove_replica>(change).id, unknown_nonce};
}

/// Whether the reason passes by itself within a few ticks.
bool is_passing(refusal_reason reason)
{
    return reason == refusal_reason::change_in_progress || reason == refusal_reason::transferring;
}

} // namespace

void membership_policy::on_join_request(const replica_identity& identity, base::time_point now)
{
    m_joining[identity.id] = {identity.nonce, now};
}

void membership_policy::on_leave_request(const replica_identity& identity, base::time_point now)
{
    m_leaving[identity] = now;
}

bool membership_policy::on_refused(const membership_change& change, refusal_reason reason,
                                   base::time_point now)
{
    const auto [found, is_new] = m_refused.try_emplace(subject_of(change), refusal{reason, now});
    const bool differs = is_new || found->second.reason != reason;
    found->second = {reason, now};
    return differs;
}

std::optional<membership_change> membership_policy::next_change(const replica_status& status,
                                                                base::time_point now)
{
    drop_expired(now);
    if (status.role != replica_role::leader) {
        return std::nullopt;
    }
    for (const auto& candidate : status.members.members) {
        const remove_replica change{candidate.identity.id};
        if (candidate.identity != status.identity && !is_deferred(change, now) &&
            can_remove(status, candidate, now)) {
            return change;
        }
    }
    for (const auto& [id, request] : m_joining) {
        const replica_identity identity{id, request.nonce};
        const add_replica change{identity};
        const auto* present = status.members.find(identity.id);
        const bool is_member = present != nullptr && present->identity == identity;
        if (!is_member && !is_leaving(identity) && !is_deferred(change, now)) {
            return change;
        }
    }
    return std::nullopt;
}

void membership_policy::drop_expired(base::time_point now)
{
    const auto is_expired = [&](base::time_point requested_at) {
        return now - requested_at > m_options.request_lifetime;
    };
    std::erase_if(m_joining, [&](const auto& item) { return is_expired(item.second.at); });
    std::erase_if(m_leaving, [&](const auto& item) { return is_expired(item.second); });
    // Kept beyond the backoff, so that on_refused recognizes a repeated refusal.
    std::erase_if(m_refused, [&](const auto& item) {
        return now - item.second.at > m_options.refusal_backoff + m_options.request_lifetime;
    });
}

bool membership_policy::is_deferred(const membership_change& change, base::time_point now) const
{
    const auto found = m_refused.find(subject_of(change));
    return found != m_refused.end() && !is_passing(found->second.reason) &&
           now - found->second.at < m_options.refusal_backoff;
}

bool membership_policy::is_leaving(const replica_identity& identity) const
{
    return m_leaving.count(identity) != 0;
}

bool membership_policy::has_successor(const replica_status& status) const
{
    return std::any_of(status.members.members.begin(), status.members.members.end(),
                       [&](const member& each) {
                           return each.role == member_role::learner && !is_leaving(each.identity) &&
                                  status.has_caught_up(each.identity.id);
                       });
}

bool membership_policy::can_remove(const replica_status& status, const member& candidate,
                                   base::time_point now) const
{
    const auto heard = status.last_heard(candidate.identity.id);
    const bool is_voter = candidate.role == member_role::voter;
    if (is_voter && heard && now - *heard > m_options.live_voter_timeout && has_successor(status)) {
        return true;
    }
    const bool silent = heard && now - *heard > m_options.removal_timeout;
    if (!silent && !is_leaving(candidate.identity)) {
        return false;
    }
    if (!is_voter) {
        return true;
    }
    // Starts at 1 for this leader itself.
    std::size_t remaining = 1;
    for (const auto& each : status.members.members) {
        const auto each_last_heard = status.last_heard(each.identity.id);
        const bool is_live =
            each_last_heard && now - *each_last_heard <= m_options.live_voter_timeout;
        const bool counts = each.identity != candidate.identity &&
                            each.role == member_role::voter && !is_leaving(each.identity);
        remaining += is_live && counts ? 1 : 0;
    }
    return remaining >= m_options.min_remaining_voters;
}

} // namespace damaskladder::consensus
