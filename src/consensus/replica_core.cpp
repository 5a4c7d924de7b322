#include "consensus/replica_core.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::consensus {

namespace {

/// Heartbeat intervals that a replica waits after a stall before it campaigns.
constexpr int heartbeats_awaited_after_stall = 2;

} // namespace

replica_core::replica_core(replica_options options, recovered_state state,
                           base::random_source random)
    : m_options(std::move(options)),
      m_random(std::move(random)),
      m_self(std::move(state.identity)),
      m_hard_state(std::move(state.election_state)),
      m_log(std::move(state.newest_snapshot), std::move(state.entries)),
      m_commit(m_log.snapshot_index()),
      m_applied(m_commit),
      m_snapshot_requested_at(m_commit),
      m_persist(m_log.last_index()),
      m_receiver(m_options.max_snapshot)
{
    if (m_options.initial_replicas.empty()) {
        m_options.initial_replicas = std::move(state.initial_replicas);
    }
}

std::vector<effect> replica_core::start(base::time_point now)
{
    m_now = now;
    reset_election_deadline();
    const bool is_alone = is_bootstrapping() ? m_options.initial_replicas.size() == 1
                                             : m_log.members().voter_count() == 1 && can_campaign();
    if (is_alone) {
        // No other replica can become leader, so there is no reason to wait.
        m_election_deadline = now;
    }
    if (m_log.newest_snapshot()) {
        m_effects.emplace_back(install_snapshot{m_log.newest_snapshot()});
    }
    announce_configuration();
    return std::exchange(m_effects, {});
}

std::vector<effect> replica_core::handle(event happened, base::time_point now)
{
    m_now = std::max(m_now, now);
    std::visit([this](auto& each) { on(each); }, happened);
    if (m_role != replica_role::halted) {
        persist_hard_state_if_dirty();
        announce_configuration();
        request_snapshot_if_due();
    }
    return std::exchange(m_effects, {});
}

replica_status replica_core::status() const
{
    return {m_self,
            m_role,
            m_hard_state.term,
            known_leader(),
            m_commit,
            m_log.last_index(),
            m_log.snapshot_index(),
            m_log.size(),
            m_log.members(),
            m_awaiting_admission,
            contacts()};
}

std::vector<member_contact> replica_core::contacts() const
{
    std::vector<member_contact> all;
    if (m_leader_state) {
        for (const auto& [id, follower] : m_leader_state->followers) {
            all.push_back({id, follower.last_heard, has_caught_up(follower)});
        }
    }
    return all;
}

void replica_core::on(message_received& received)
{
    if (m_role == replica_role::halted) {
        return;
    }
    envelope& incoming = received.received;
    const bool is_addressee = incoming.to.id == m_self.id && (incoming.to.nonce == unknown_nonce ||
                                                              incoming.to.nonce == m_self.nonce);
    if (!is_addressee || incoming.from.id == m_self.id) {
        return;
    }
    std::visit([&](auto& body) { receive(incoming.from, body); }, incoming.body);
}

void replica_core::extend_deadlines_after_stall()
{
    const auto passed = m_now - std::exchange(m_last_tick, m_now);
    if (passed <= m_options.election_timeout / 2) {
        return;
    }
    if (m_leader_state) {
        for (auto& [id, follower] : m_leader_state->followers) {
            follower.last_heard = std::min(m_now, follower.last_heard + passed);
        }
    }
    m_election_deadline = std::max(m_election_deadline, m_now + m_options.heartbeat_interval *
                                                                    heartbeats_awaited_after_stall);
}

void replica_core::on(const tick& /*passed*/)
{
    if (m_role == replica_role::halted) {
        return;
    }
    extend_deadlines_after_stall();
    if (m_leader_state) {
        leader_tick();
        return;
    }
    if (m_now < m_election_deadline) {
        return;
    }
    reset_election_deadline();
    m_leader.reset();
    if (can_campaign()) {
        start_pre_vote();
    }
}

void replica_core::on(const sync_completed& completed)
{
    if (m_role == replica_role::halted) {
        return;
    }
    m_persist.complete(completed.token);
    send_synced_messages();
    if (m_role == replica_role::candidate && !m_own_vote_counted &&
        m_persist.last_synced() >= m_hard_state_token && !m_hard_state_dirty) {
        m_own_vote_counted = true;
        count_vote(m_self);
    }
    if (m_leader_state) {
        advance_commit();
    }
}

void replica_core::on(const storage_failed& /*failed*/)
{
    if (m_role == replica_role::halted) {
        return;
    }
    m_deferred.clear();
    if (m_leader_state) {
        for (const pending_proposal& each : m_leader_state->proposals) {
            refuse(each.id, refusal_reason::storage_failed);
        }
        for (const pending_read& each : m_leader_state->reads) {
            refuse(each.id, refusal_reason::storage_failed);
        }
        m_leader_state.reset();
        m_effects.emplace_back(stepped_down{m_hard_state.term, std::nullopt});
    }
    m_leader.reset();
    m_role = replica_role::halted;
}

void replica_core::persist_hard_state_if_dirty()
{
    if (!m_hard_state_dirty) {
        return;
    }
    m_hard_state_dirty = false;
    m_hard_state_token = m_persist.issue();
    m_effects.emplace_back(persist_vote{m_hard_state_token, m_hard_state});
}

void replica_core::send_when_synced(const replica_identity& to, message body, persist_token written)
{
    persist_hard_state_if_dirty();
    const persist_token required = std::max(written, m_hard_state_token);
    envelope outgoing{m_self, to, std::move(body)};
    if (required <= m_persist.last_synced()) {
        m_effects.emplace_back(send_message{std::move(outgoing)});
    }
    else {
        m_deferred.push_back({required, std::move(outgoing)});
    }
}

void replica_core::send_synced_messages()
{
    std::deque<deferred_message> still_deferred;
    for (deferred_message& each : m_deferred) {
        if (each.required_token <= m_persist.last_synced()) {
            m_effects.emplace_back(send_message{std::move(each.content)});
        }
        else {
            still_deferred.push_back(std::move(each));
        }
    }
    m_deferred = std::move(still_deferred);
}

void replica_core::append_as_leader(std::vector<entry> added)
{
    persist_hard_state_if_dirty();
    base::byte_count size;
    for (const entry& each : added) {
        size += size_of(each);
        m_log.append(each);
    }
    m_leader_state->uncommitted += size;
    const persist_token token =
        m_persist.issue_entries(added.front().index, added.back().index, size);
    m_effects.emplace_back(persist_entries{token, std::move(added)});
}

void replica_core::announce_configuration()
{
    if (m_log.members() == m_announced_configuration) {
        return;
    }
    m_announced_configuration = m_log.members();
    m_awaiting_admission = false;
    m_effects.emplace_back(configuration_changed{m_announced_configuration});
}

void replica_core::commit_up_to(log_index index)
{
    if (index > m_commit) {
        m_commit = index;
        apply_committed_entries();
    }
}

void replica_core::apply_committed_entries()
{
    while (m_applied < m_commit) {
        m_applied = index_after(m_applied);
        apply_committed applied{m_log.at(m_applied), std::nullopt};
        m_applied_since_snapshot += size_of(applied.committed);
        if (m_leader_state) {
            m_leader_state->uncommitted -= size_of(applied.committed);
            auto& proposals = m_leader_state->proposals;
            if (!proposals.empty() && proposals.front().index == m_applied) {
                applied.proposal = proposals.front().id;
                proposals.pop_front();
            }
        }
        m_effects.emplace_back(std::move(applied));
    }
}

bool replica_core::snapshot_is_due() const
{
    const log_index since = std::max(m_log.snapshot_index(), m_snapshot_requested_at);
    if (since == m_applied) {
        return false;
    }
    const auto& newest = m_log.newest_snapshot();
    const base::byte_count newest_size(newest ? static_cast<std::int64_t>(newest->state.size())
                                              : 0);
    return entries_between(since, m_applied) >= m_options.snapshot_after_entries ||
           m_applied_since_snapshot >= std::max(m_options.snapshot_after_bytes, newest_size);
}

void replica_core::request_snapshot_if_due()
{
    if (snapshot_is_due()) {
        m_snapshot_requested_at = m_applied;
        m_applied_since_snapshot = {};
        m_effects.emplace_back(snapshot_wanted{m_applied});
    }
}

} // namespace damaskladder::consensus
