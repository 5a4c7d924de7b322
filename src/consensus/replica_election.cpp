#include "consensus/replica_core.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::consensus {

bool replica_core::is_bootstrapping() const
{
    const auto& initial = m_options.initial_replicas;
    return m_log.empty() && std::find(initial.begin(), initial.end(), m_self.id) != initial.end();
}

bool replica_core::can_campaign() const
{
    return is_bootstrapping() || m_log.may_be_voter(m_self, m_commit);
}

bool replica_core::leader_is_alive() const
{
    if (m_role == replica_role::leader) {
        return true;
    }
    return m_leader && m_now - m_last_contact < m_options.election_timeout;
}

bool replica_core::is_up_to_date(log_index last_index, term_number last_term) const
{
    if (last_term != m_log.last_term()) {
        return last_term > m_log.last_term();
    }
    return last_index >= m_log.last_index();
}

bool replica_core::accepts_bootstrap(const replica_identity& from, bool bootstrap) const
{
    if (!bootstrap) {
        return true;
    }
    const auto& initial = m_options.initial_replicas;
    // A replica that was started to rejoin before the cluster had formed has nothing to rejoin. As
    // the candidate needs the votes of all initial replicas, one that holds an entry prevents it.
    const bool rejoins_nothing = m_log.empty() && initial.empty();
    return rejoins_nothing || (is_bootstrapping() &&
                               std::find(initial.begin(), initial.end(), from.id) != initial.end());
}

void replica_core::reset_election_deadline()
{
    const auto timeout = m_options.election_timeout;
    const auto spread = static_cast<std::uint64_t>(std::max<std::int64_t>(timeout.count(), 1));
    m_election_deadline =
        m_now + timeout + base::duration(static_cast<std::int64_t>(m_random() % spread));
}

void replica_core::adopt_term(term_number term)
{
    if (term > m_hard_state.term) {
        m_hard_state = {term, std::nullopt};
        m_hard_state_dirty = true;
        m_leader.reset();
    }
}

void replica_core::become_follower(term_number term)
{
    if (m_leader_state) {
        step_down();
    }
    if (m_role != replica_role::follower) {
        m_role = replica_role::follower;
        reset_election_deadline();
    }
    adopt_term(term);
}

void replica_core::start_pre_vote()
{
    m_role = replica_role::pre_candidate;
    m_leader.reset();
    m_tally.clear();
    count_vote(m_self);
    if (m_role == replica_role::pre_candidate) {
        request_votes(pre_vote_request{next_term(m_hard_state.term), m_log.last_index(),
                                       m_log.last_term(), is_bootstrapping()});
    }
}

void replica_core::start_election(bool transfer)
{
    m_role = replica_role::candidate;
    m_leader.reset();
    m_tally.clear();
    m_own_vote_counted = false;
    m_hard_state = {next_term(m_hard_state.term), m_self};
    m_hard_state_dirty = true;
    reset_election_deadline();
    persist_hard_state_if_dirty();
    request_votes(vote_request{m_hard_state.term, m_log.last_index(), m_log.last_term(),
                               is_bootstrapping(), transfer});
}

void replica_core::request_votes(const message& request)
{
    if (is_bootstrapping()) {
        for (const replica_id& id : m_options.initial_replicas) {
            if (id != m_self.id) {
                send_when_synced({id, unknown_nonce}, request);
            }
        }
        return;
    }
    for (const member& each : m_log.members().members) {
        if (each.role == member_role::voter && each.identity != m_self) {
            send_when_synced(each.identity, request);
        }
    }
}

void replica_core::count_vote(const replica_identity& voter)
{
    m_tally.add(voter);
    if (!has_won()) {
        return;
    }
    if (m_role == replica_role::pre_candidate) {
        start_election(false);
    }
    else {
        become_leader();
    }
}

bool replica_core::has_won() const
{
    const auto& granted = m_tally.granted();
    if (is_bootstrapping()) {
        const auto& initial = m_options.initial_replicas;
        return std::all_of(initial.begin(), initial.end(), [&](const replica_id& id) {
            return std::any_of(granted.begin(), granted.end(),
                               [&](const replica_identity& each) { return each.id == id; });
        });
    }
    const configuration& members = m_log.members();
    const auto votes =
        std::count_if(granted.begin(), granted.end(),
                      [&](const replica_identity& each) { return members.is_voter(each); });
    return static_cast<std::size_t>(votes) >= members.quorum();
}

configuration replica_core::first_configuration() const
{
    configuration first{config_id(1), {}};
    for (const replica_id& id : m_options.initial_replicas) {
        for (const replica_identity& each : m_tally.granted()) {
            if (each.id == id && first.find(id) == nullptr) {
                first.members.push_back({each, member_role::voter});
            }
        }
    }
    return first;
}

void replica_core::become_leader()
{
    entry_payload opening = no_operation{};
    if (is_bootstrapping()) {
        opening = first_configuration();
    }
    m_role = replica_role::leader;
    m_leader = m_self;
    m_leader_state.emplace();
    m_leader_state->first_index_of_term = index_after(m_log.last_index());
    for (log_index i = index_after(m_commit); i <= m_log.last_index(); i = index_after(i)) {
        m_leader_state->uncommitted += size_of(m_log.at(i));
    }
    m_effects.emplace_back(became_leader{m_hard_state.term});
    append_as_leader(
        {entry{m_leader_state->first_index_of_term, m_hard_state.term, std::move(opening)}});
    refresh_followers();
    begin_round();
}

void replica_core::step_down()
{
    const auto ended = std::exchange(m_leader_state, std::nullopt);
    m_role = replica_role::follower;
    m_leader.reset();
    reset_election_deadline();
    m_effects.emplace_back(stepped_down{m_hard_state.term, std::nullopt});
    for (const pending_proposal& each : ended->proposals) {
        refuse(each.id, refusal_reason::leadership_lost);
    }
    for (const pending_read& each : ended->reads) {
        refuse(each.id, refusal_reason::leadership_lost);
    }
}

void replica_core::receive(const replica_identity& from, const pre_vote_request& request)
{
    const bool granted = !leader_is_alive() && request.term > m_hard_state.term &&
                         is_up_to_date(request.last_index, request.last_term) &&
                         accepts_bootstrap(from, request.bootstrap);
    send_when_synced(from,
                     pre_vote_reply{m_hard_state.term, request.term, granted, !m_log.empty()});
}

void replica_core::receive(const replica_identity& from, const pre_vote_reply& reply)
{
    if (is_bootstrapping() && reply.cluster_exists) {
        m_awaiting_admission = true;
    }
    if (reply.term > m_hard_state.term) {
        become_follower(reply.term);
        return;
    }
    if (m_role == replica_role::pre_candidate && reply.granted &&
        reply.requested_term == next_term(m_hard_state.term)) {
        count_vote(from);
    }
}

void replica_core::receive(const replica_identity& from, const vote_request& request)
{
    // A replica that still hears a leader refuses to vote. Otherwise a replica with a broken link,
    // or one that was removed, could disrupt a working cluster.
    if (leader_is_alive() && !request.transfer) {
        send_when_synced(from, vote_reply{m_hard_state.term, false});
        return;
    }
    if (request.term > m_hard_state.term) {
        become_follower(request.term);
    }
    const bool free_vote = !m_hard_state.vote || *m_hard_state.vote == from;
    const bool granted = request.term == m_hard_state.term && free_vote &&
                         is_up_to_date(request.last_index, request.last_term) &&
                         accepts_bootstrap(from, request.bootstrap);
    if (granted) {
        become_follower(request.term);
        m_hard_state_dirty = m_hard_state_dirty || !m_hard_state.vote;
        m_hard_state.vote = from;
        reset_election_deadline();
    }
    send_when_synced(from, vote_reply{m_hard_state.term, granted});
}

void replica_core::receive(const replica_identity& from, const vote_reply& reply)
{
    if (reply.term > m_hard_state.term) {
        become_follower(reply.term);
        return;
    }
    if (m_role == replica_role::candidate && reply.term == m_hard_state.term && reply.granted) {
        count_vote(from);
    }
}

void replica_core::receive(const replica_identity& from, const timeout_now& request)
{
    const bool asked_by_leader = m_leader && *m_leader == from && request.term == m_hard_state.term;
    if (asked_by_leader && m_role == replica_role::follower && m_log.members().is_voter(m_self)) {
        start_election(true);
    }
}

} // namespace damaskladder::consensus
