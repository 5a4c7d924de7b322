#include "consensus/replica_core.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace damaskladder::consensus {

void replica_core::on(propose& request)
{
    std::vector<entry> added;
    base::byte_count uncommitted =
        m_leader_state ? m_leader_state->uncommitted : base::byte_count();
    for (proposal& each : request.proposals) {
        const auto size = base::byte_count(static_cast<std::int64_t>(each.content.bytes.size()));
        if (m_role == replica_role::halted) {
            refuse(each.id, refusal_reason::storage_failed);
        }
        else if (!m_leader_state) {
            refuse(each.id, refusal_reason::not_leader);
        }
        else if (m_leader_state->transfer_target) {
            refuse(each.id, refusal_reason::transferring);
        }
        else if (size > m_options.max_command) {
            refuse(each.id, refusal_reason::too_large);
        }
        else if (uncommitted > m_options.max_uncommitted || disk_is_behind()) {
            refuse(each.id, refusal_reason::overloaded);
        }
        else {
            const log_index index = index_after(m_log.last_index(), added.size() + 1);
            added.push_back({index, m_hard_state.term, std::move(each.content)});
            uncommitted += size_of(added.back());
            m_leader_state->proposals.push_back({index, each.id});
        }
    }
    if (!added.empty()) {
        append_as_leader(std::move(added));
        replicate();
    }
}

bool replica_core::disk_is_behind() const
{
    return m_persist.unsynced_size() > m_options.max_unsynced;
}

void replica_core::on(const read_requested& request)
{
    if (m_role == replica_role::halted) {
        refuse(request.id, refusal_reason::storage_failed);
        return;
    }
    if (!m_leader_state) {
        refuse(request.id, refusal_reason::not_leader);
        return;
    }
    if (m_leader_state->reads.size() >= m_options.max_pending_reads) {
        refuse(request.id, refusal_reason::overloaded);
        return;
    }
    // The current round may have started before this read arrived, so only the next round confirms
    // it.
    m_leader_state->reads.push_back({request.id, round_number(m_leader_state->round.value() + 1)});
    begin_round_if_needed();
}

void replica_core::on(const transfer_requested& /*request*/)
{
    if (!m_leader_state) {
        return;
    }
    const follower_progress* best = nullptr;
    for (const auto& [id, follower] : m_leader_state->followers) {
        const bool usable = m_log.members().is_voter(follower.identity) &&
                            m_now - follower.last_heard < m_options.election_timeout;
        if (usable && (best == nullptr || follower.match > best->match)) {
            best = &follower;
        }
    }
    if (best == nullptr) {
        m_effects.emplace_back(transfer_abandoned{m_hard_state.term});
        return;
    }
    m_leader_state->transfer_target = best->identity;
    m_leader_state->transfer_deadline = m_now + m_options.election_timeout;
    continue_leadership_transfer();
}

void replica_core::continue_leadership_transfer()
{
    if (!m_leader_state || !m_leader_state->transfer_target) {
        return;
    }
    const auto found = m_leader_state->followers.find(m_leader_state->transfer_target->id);
    const bool is_gone = found == m_leader_state->followers.end();
    if (is_gone || m_now >= m_leader_state->transfer_deadline) {
        m_leader_state->transfer_target.reset();
        m_effects.emplace_back(transfer_abandoned{m_hard_state.term});
        return;
    }
    if (found->second.match == m_log.last_index()) {
        send_when_synced(found->second.identity, timeout_now{m_hard_state.term});
    }
}

void replica_core::leader_tick()
{
    if (!has_quorum_contact(m_log.members())) {
        step_down();
        return;
    }
    if (m_now >= m_leader_state->next_heartbeat) {
        begin_round();
    }
    // Independent of the heartbeat deadline: frequent reads start rounds of their own and postpone
    // it.
    if (disk_is_behind() && !m_leader_state->transfer_target) {
        on(transfer_requested{});
    }
    continue_leadership_transfer();
    promote_learner_if_due();
}

bool replica_core::has_quorum_contact(const configuration& members) const
{
    std::size_t heard = members.is_voter(m_self) ? 1 : 0;
    for (const auto& [id, follower] : m_leader_state->followers) {
        const bool recent = m_now - follower.last_heard < m_options.election_timeout;
        heard += recent && members.is_voter(follower.identity) ? 1 : 0;
    }
    return heard >= members.quorum();
}

void replica_core::begin_round()
{
    m_leader_state->round = round_number(m_leader_state->round.value() + 1);
    m_leader_state->next_heartbeat = m_now + m_options.heartbeat_interval;
    for (auto& [id, follower] : m_leader_state->followers) {
        send_heartbeat(follower);
    }
    confirm_reads();
}

void replica_core::begin_round_if_needed()
{
    const bool wanted = !m_leader_state->reads.empty() &&
                        m_leader_state->reads.back().required_round > m_leader_state->round;
    if (wanted && m_leader_state->confirmed_round == m_leader_state->round) {
        begin_round();
    }
}

void replica_core::send_heartbeat(follower_progress& follower)
{
    // A silent follower receives no entries until it replies: each attempt would cost max_append
    // bytes.
    const bool silent = m_now - follower.last_heard >= m_options.election_timeout;
    if (silent && follower.state == progress_state::replicating) {
        follower.state = progress_state::probing;
        follower.next = index_after(follower.match);
        follower.in_flight.clear();
    }
    if (follower.state == progress_state::snapshotting) {
        // Index 0 matches every log, so this request only signals that the leader is alive.
        send_append(follower, log_index(), {});
        if (m_now - follower.chunk_sent_at >= m_options.heartbeat_interval) {
            send_snapshot_chunk(follower);
        }
        return;
    }
    const log_index before = follower.next;
    follower.probe_sent = false;
    if (!silent) {
        send_entries(follower);
    }
    const bool sent = follower.probe_sent || follower.next != before;
    if (!sent && follower.state != progress_state::snapshotting) {
        send_append(follower, index_before(follower.next), {});
    }
}

void replica_core::send_entries(follower_progress& follower)
{
    while (follower.state != progress_state::snapshotting && follower.next <= m_log.last_index()) {
        if (follower.next <= m_log.base_index()) {
            begin_snapshot_transfer(follower);
            return;
        }
        const bool probing = follower.state == progress_state::probing;
        const bool full = probing ? follower.probe_sent
                                  : follower.in_flight.size() >= m_options.max_appends_in_flight;
        if (full) {
            return;
        }
        std::vector<entry> entries = m_log.copy_from(follower.next, m_options.max_append);
        const log_index last = entries.back().index;
        send_append(follower, index_before(follower.next), std::move(entries));
        if (probing) {
            follower.probe_sent = true;
            return;
        }
        follower.in_flight.push_back(last);
        follower.next = index_after(last);
    }
}

void replica_core::send_append(follower_progress& follower, log_index previous,
                               std::vector<entry> entries)
{
    const term_number previous_term = m_log.term_at(previous).value_or(term_number());
    follower.sent_commit = m_commit;
    send_when_synced(follower.identity,
                     append_request{m_hard_state.term, previous, previous_term, m_commit,
                                    m_leader_state->round, std::move(entries)});
}

void replica_core::replicate()
{
    for (auto& [id, follower] : m_leader_state->followers) {
        send_entries(follower);
    }
}

void replica_core::send_commit_index()
{
    for (auto& [id, follower] : m_leader_state->followers) {
        // Under load the next request with entries carries the commit index.
        const bool idle =
            follower.state == progress_state::replicating && follower.in_flight.empty();
        if (idle && follower.sent_commit < m_commit) {
            send_append(follower, index_before(follower.next), {});
        }
    }
}

follower_progress* replica_core::record_contact(const replica_identity& from, term_number term,
                                                round_number round)
{
    if (term > m_hard_state.term) {
        become_follower(term);
        return nullptr;
    }
    if (!m_leader_state || term < m_hard_state.term) {
        return nullptr;
    }
    const auto found = m_leader_state->followers.find(from.id);
    if (found == m_leader_state->followers.end() || found->second.identity != from) {
        return nullptr;
    }
    found->second.last_heard = m_now;
    found->second.acked_round = std::max(found->second.acked_round, round);
    return &found->second;
}

void replica_core::receive(const replica_identity& from, const append_reply& reply)
{
    follower_progress* follower = record_contact(from, reply.term, reply.round);
    if (follower == nullptr) {
        return;
    }
    if (!reply.accepted) {
        handle_rejection(*follower, reply);
    }
    else if (follower->state != progress_state::snapshotting) {
        follower->match = std::max(follower->match, reply.match_index);
        follower->next = std::max(follower->next, index_after(follower->match));
        while (!follower->in_flight.empty() && follower->in_flight.front() <= follower->match) {
            follower->in_flight.pop_front();
        }
        follower->state = progress_state::replicating;
    }
    confirm_reads();
    if (!m_leader_state) {
        return;
    }
    send_entries(*follower);
    advance_commit();
    if (m_leader_state) {
        continue_leadership_transfer();
    }
}

void replica_core::handle_rejection(follower_progress& follower, const append_reply& reply)
{
    const bool is_stale = reply.previous_index <= follower.match ||
                          reply.previous_index >= follower.next ||
                          follower.state == progress_state::snapshotting;
    if (is_stale) {
        return;
    }
    follower.state = progress_state::probing;
    follower.next =
        std::max(index_after(follower.match), std::min(reply.next_hint, reply.previous_index));
    follower.in_flight.clear();
    follower.probe_sent = false;
}

void replica_core::advance_commit()
{
    const configuration& members = m_log.members();
    std::vector<log_index> durable;
    if (members.is_voter(m_self)) {
        durable.push_back(m_persist.synced_index());
    }
    for (const auto& [id, follower] : m_leader_state->followers) {
        if (members.is_voter(follower.identity)) {
            durable.push_back(follower.match);
        }
    }
    if (durable.size() < members.quorum()) {
        return;
    }
    std::sort(durable.begin(), durable.end(), std::greater<>());
    const log_index index = durable[members.quorum() - 1];
    // Only entries of the current term are committed by counting replicas. An older entry on a
    // majority can still be overwritten by the leader of a term in between.
    if (index <= m_commit || m_log.term_at(index) != m_hard_state.term) {
        return;
    }
    commit_up_to(index);
    send_commit_index();
    confirm_reads();
    promote_learner_if_due();
    step_down_if_removed();
}

void replica_core::confirm_reads()
{
    const configuration& members = m_log.members();
    std::vector<round_number> answered;
    if (members.is_voter(m_self)) {
        answered.push_back(m_leader_state->round);
    }
    for (const auto& [id, follower] : m_leader_state->followers) {
        if (members.is_voter(follower.identity)) {
            answered.push_back(follower.acked_round);
        }
    }
    if (answered.size() < members.quorum()) {
        return;
    }
    std::sort(answered.begin(), answered.end(), std::greater<>());
    m_leader_state->confirmed_round = answered[members.quorum() - 1];
    auto& reads = m_leader_state->reads;
    while (current_term_committed() && !reads.empty() &&
           reads.front().required_round <= m_leader_state->confirmed_round) {
        m_effects.emplace_back(read_confirmed{reads.front().id, m_commit});
        reads.pop_front();
    }
    begin_round_if_needed();
}

void replica_core::refuse(std::variant<proposal_id, read_id> request, refusal_reason reason)
{
    m_effects.emplace_back(refused{request, reason, known_leader()});
}

std::optional<replica_id> replica_core::known_leader() const
{
    return m_leader ? std::optional(m_leader->id) : std::nullopt;
}

} // namespace damaskladder::consensus
