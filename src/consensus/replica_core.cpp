#include "consensus/replica_core.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::consensus {

namespace {

/// Heartbeats that a replica waits for after a stall before it campaigns.
constexpr int heartbeats_awaited = 2;

} // namespace

replica_core::replica_core(replica_options options, recovered_state state,
                           base::random_source random)
    : m_options(std::move(options)),
      m_random(std::move(random)),
      m_self(std::move(state.identity)),
      m_votes(std::move(state.votes)),
      m_log(std::move(state.newest_snapshot), std::move(state.entries)),
      m_commit(m_log.snapshot_index()),
      m_applied(m_commit),
      m_snapshot_asked_at(m_commit),
      m_persist(m_log.last_index()),
      m_receiver(m_options.max_snapshot)
{
}

std::vector<effect> replica_core::start(base::time_point now)
{
    m_now = now;
    reset_election_deadline();
    const bool is_alone = is_bootstrapping() ? m_options.initial_replicas.size() == 1
                                             : m_log.members().voter_count() == 1 && can_campaign();
    if (is_alone) {
        // Nobody else can lead, so there is nothing to wait for.
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
        persist_dirty_vote();
        announce_configuration();
        want_snapshot_if_due();
    }
    return std::exchange(m_effects, {});
}

replica_status replica_core::status() const
{
    return {m_self,
            m_role,
            m_votes.term,
            known_leader(),
            m_commit,
            m_log.last_index(),
            m_log.snapshot_index(),
            m_log.members(),
            m_awaiting_admission,
            contacts()};
}

std::vector<member_contact> replica_core::contacts() const
{
    std::vector<member_contact> all;
    if (m_lead) {
        for (const auto& [id, follower] : m_lead->followers) {
            all.push_back({id, follower.last_heard});
        }
    }
    return all;
}

void replica_core::on(message_received& received)
{
    if (m_role == replica_role::halted) {
        return;
    }
    envelope& letter = received.received;
    const bool meant_for_me = letter.to.id == m_self.id &&
                              (letter.to.nonce == unknown_nonce || letter.to.nonce == m_self.nonce);
    if (!meant_for_me || letter.from.id == m_self.id) {
        return;
    }
    std::visit([&](auto& body) { receive(letter.from, body); }, letter.body);
}

void replica_core::forgive_stall()
{
    const auto passed = m_now - std::exchange(m_last_tick, m_now);
    if (passed <= m_options.election_timeout / 2) {
        return;
    }
    if (m_lead) {
        for (auto& [id, follower] : m_lead->followers) {
            follower.last_heard = std::min(m_now, follower.last_heard + passed);
        }
    }
    m_election_deadline =
        std::max(m_election_deadline, m_now + m_options.heartbeat_interval * heartbeats_awaited);
}

void replica_core::on(const tick& /*passed*/)
{
    if (m_role == replica_role::halted) {
        return;
    }
    forgive_stall();
    if (m_lead) {
        lead_tick();
        return;
    }
    if (m_now < m_election_deadline) {
        return;
    }
    reset_election_deadline();
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
    release_held();
    if (m_role == replica_role::candidate && !m_own_vote_counted &&
        m_persist.last_synced() >= m_vote_token && !m_vote_dirty) {
        m_own_vote_counted = true;
        count_vote(m_self);
    }
    if (m_lead) {
        advance_commit();
    }
}

void replica_core::on(const storage_failed& /*failed*/)
{
    if (m_role == replica_role::halted) {
        return;
    }
    m_held.clear();
    if (m_lead) {
        for (const pending_proposal& each : m_lead->proposals) {
            refuse(each.id, refusal_reason::storage_failed);
        }
        for (const pending_read& each : m_lead->reads) {
            refuse(each.id, refusal_reason::storage_failed);
        }
        m_lead.reset();
        m_effects.emplace_back(stepped_down{m_votes.term, std::nullopt});
    }
    m_leader.reset();
    m_role = replica_role::halted;
}

void replica_core::persist_dirty_vote()
{
    if (!m_vote_dirty) {
        return;
    }
    m_vote_dirty = false;
    m_vote_token = m_persist.issue();
    m_effects.emplace_back(persist_vote{m_vote_token, m_votes});
}

void replica_core::post(const replica_identity& to, message body, persist_token after)
{
    persist_dirty_vote();
    const persist_token needed = std::max(after, m_vote_token);
    envelope letter{m_self, to, std::move(body)};
    if (needed <= m_persist.last_synced()) {
        m_effects.emplace_back(send_message{std::move(letter)});
    }
    else {
        m_held.push_back({needed, std::move(letter)});
    }
}

void replica_core::release_held()
{
    std::deque<held_envelope> still_held;
    for (held_envelope& each : m_held) {
        if (each.after <= m_persist.last_synced()) {
            m_effects.emplace_back(send_message{std::move(each.content)});
        }
        else {
            still_held.push_back(std::move(each));
        }
    }
    m_held = std::move(still_held);
}

void replica_core::append_own(std::vector<entry> added)
{
    persist_dirty_vote();
    for (const entry& each : added) {
        m_lead->uncommitted += size_of(each);
        m_log.append(each);
    }
    const persist_token token = m_persist.issue_entries(added.front().index, added.back().index);
    m_effects.emplace_back(persist_entries{token, std::move(added)});
}

void replica_core::announce_configuration()
{
    if (m_log.members() == m_announced) {
        return;
    }
    m_announced = m_log.members();
    m_awaiting_admission = false;
    m_effects.emplace_back(configuration_changed{m_announced});
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
        if (m_lead) {
            m_lead->uncommitted -= size_of(applied.committed);
            auto& proposals = m_lead->proposals;
            if (!proposals.empty() && proposals.front().index == m_applied) {
                applied.proposal = proposals.front().id;
                proposals.pop_front();
            }
        }
        m_effects.emplace_back(std::move(applied));
    }
}

void replica_core::want_snapshot_if_due()
{
    const log_index since = std::max(m_log.snapshot_index(), m_snapshot_asked_at);
    if (entries_between(since, m_applied) >= m_options.snapshot_after_entries) {
        m_snapshot_asked_at = m_applied;
        m_effects.emplace_back(snapshot_wanted{m_applied});
    }
}

} // namespace damaskladder::consensus
