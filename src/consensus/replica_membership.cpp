#include "consensus/replica_core.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::consensus {

namespace {

configuration with_change(configuration members, const membership_change& change)
{
    const auto* added = std::get_if<add_replica>(&change);
    const replica_id& id =
        added != nullptr ? added->identity.id : std::get<remove_replica>(change).id;
    auto& list = members.members;
    list.erase(std::remove_if(list.begin(), list.end(),
                              [&](const member& each) { return each.identity.id == id; }),
               list.end());
    if (added != nullptr) {
        list.push_back({added->identity, member_role::learner});
    }
    return members;
}

} // namespace

void replica_core::on(const membership_change_requested& request)
{
    if (const auto reason = check_change(request.change)) {
        refuse(request.id, *reason);
        return;
    }
    m_leader_state->proposals.push_back({index_after(m_log.last_index()), request.id});
    append_configuration(with_change(m_log.members(), request.change));
}

bool replica_core::current_term_committed() const
{
    return m_commit >= m_leader_state->first_index_of_term;
}

std::optional<refusal_reason> replica_core::check_change(const membership_change& change) const
{
    if (m_role == replica_role::halted) {
        return refusal_reason::storage_failed;
    }
    if (!m_leader_state) {
        return refusal_reason::not_leader;
    }
    if (m_leader_state->transfer_target) {
        return refusal_reason::transferring;
    }
    // Majorities of two configurations are guaranteed to overlap only if the configurations differ
    // by one replica and this leader knows the latest committed one. It therefore waits until its
    // own first entry is committed.
    if (!current_term_committed() || m_log.members_index() > m_commit) {
        return refusal_reason::change_in_progress;
    }
    const configuration& members = m_log.members();
    const auto* added = std::get_if<add_replica>(&change);
    const replica_id& id =
        added != nullptr ? added->identity.id : std::get<remove_replica>(change).id;
    const member* present = members.find(id);
    if (added != nullptr) {
        if (id.value().empty() || added->identity.nonce == unknown_nonce) {
            return refusal_reason::invalid_identity;
        }
        if (id == m_self.id || (present != nullptr && present->identity == added->identity)) {
            return refusal_reason::already_a_member;
        }
        if (present == nullptr && members.members.size() >= m_options.max_members) {
            return refusal_reason::too_many_members;
        }
    }
    else if (present == nullptr) {
        return refusal_reason::not_a_member;
    }
    const bool loses_voter = present != nullptr && present->role == member_role::voter;
    if (loses_voter && members.voter_count() == 1) {
        return refusal_reason::last_voter;
    }
    // A change takes effect as soon as it is appended: one that cannot be committed would stop the
    // cluster.
    if (!has_quorum_contact(with_change(members, change))) {
        return refusal_reason::would_lose_quorum;
    }
    return std::nullopt;
}

void replica_core::append_configuration(configuration changed)
{
    changed.id = config_id(m_log.members().id.value() + 1);
    const log_index index = index_after(m_log.last_index());
    append_as_leader({entry{index, m_hard_state.term, std::move(changed)}});
    refresh_followers();
    replicate();
}

void replica_core::refresh_followers()
{
    auto& followers = m_leader_state->followers;
    const configuration& members = m_log.members();
    for (auto it = followers.begin(); it != followers.end();) {
        const member* present = members.find(it->first);
        const bool stays = present != nullptr && present->identity == it->second.identity;
        it = stays ? std::next(it) : followers.erase(it);
    }
    for (const member& each : members.members) {
        if (each.identity != m_self && followers.count(each.identity.id) == 0) {
            follower_progress fresh;
            fresh.identity = each.identity;
            fresh.next = m_log.last_index();
            fresh.last_heard = m_now;
            followers.emplace(each.identity.id, std::move(fresh));
        }
    }
}

void replica_core::promote_learner_if_due()
{
    const bool may_change = m_leader_state && current_term_committed() &&
                            !m_leader_state->transfer_target && m_log.members_index() <= m_commit;
    const configuration& members = m_log.members();
    if (!may_change || members.voter_count() >= m_options.max_voters) {
        return;
    }
    for (auto& [id, follower] : m_leader_state->followers) {
        if (members.is_voter(follower.identity)) {
            continue;
        }
        if (!has_caught_up(follower)) {
            follower.caught_up_in.reset();
            continue;
        }
        if (!follower.caught_up_in) {
            follower.caught_up_in = m_leader_state->round;
        }
        if (all_voters_answered_after(*follower.caught_up_in)) {
            configuration changed = members;
            for (member& each : changed.members) {
                if (each.identity == follower.identity) {
                    each.role = member_role::voter;
                }
            }
            append_configuration(std::move(changed));
            return;
        }
    }
}

bool replica_core::has_caught_up(const follower_progress& follower) const
{
    return m_now - follower.last_heard < m_options.election_timeout &&
           follower.state == progress_state::replicating &&
           entries_between(follower.match, m_log.last_index()) <= m_options.promotion_lag_entries;
}

bool replica_core::all_voters_answered_after(round_number round) const
{
    const auto& followers = m_leader_state->followers;
    return std::all_of(followers.begin(), followers.end(), [&](const auto& each) {
        const follower_progress& follower = each.second;
        return !m_log.members().is_voter(follower.identity) || follower.acked_round > round;
    });
}

void replica_core::step_down_if_removed()
{
    const bool removed = m_leader_state && !m_log.members().is_voter(m_self);
    if (removed && m_log.members_index() <= m_commit) {
        step_down();
    }
}

} // namespace damaskladder::consensus
