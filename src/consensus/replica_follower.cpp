#include "consensus/replica_core.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::consensus {

namespace {

bool is_contiguous(const append_request& request)
{
    log_index expected = request.previous_index;
    for (const entry& each : request.entries) {
        expected = index_after(expected);
        if (each.index != expected) {
            return false;
        }
    }
    return true;
}

} // namespace

void replica_core::accept_leader(const replica_identity& from, term_number term)
{
    become_follower(term);
    m_leader = from;
    m_last_contact = m_now;
    reset_election_deadline();
}

bool replica_core::log_matches(const append_request& request) const
{
    // A leader has every committed entry, so the logs match at any committed index.
    return request.previous_index <= m_commit ||
           m_log.term_at(request.previous_index) == request.previous_term;
}

log_index replica_core::conflict_hint(log_index previous) const
{
    if (previous > m_log.last_index()) {
        return index_after(m_log.last_index());
    }
    // Skips all entries of the conflicting term.
    const auto term = m_log.term_at(previous);
    log_index hint = previous;
    while (index_before(hint) > m_commit && m_log.term_at(index_before(hint)) == term) {
        hint = index_before(hint);
    }
    return hint;
}

void replica_core::receive(const replica_identity& from, append_request& request)
{
    append_reply reply{m_hard_state.term, false, {}, request.previous_index, {}, request.round};
    if (request.term < m_hard_state.term) {
        send_when_synced(from, reply);
        return;
    }
    const bool own_term = m_leader_state && request.term == m_hard_state.term;
    if (own_term || !is_contiguous(request)) {
        return;
    }
    accept_leader(from, request.term);
    reply.term = m_hard_state.term;
    if (!log_matches(request)) {
        reply.next_hint = conflict_hint(request.previous_index);
        send_when_synced(from, reply);
        return;
    }
    const log_index last_matched = index_after(request.previous_index, request.entries.size());
    store_new_entries(request.entries);
    commit_up_to(std::min(request.commit_index, last_matched));
    reply.accepted = true;
    const log_index durable = std::min(last_matched, m_persist.synced_index());
    if (durable == last_matched || request.entries.empty()) {
        // Replies to a heartbeat without waiting for a slow disk, so that the leader keeps its
        // quorum.
        reply.match_index = durable;
        send_when_synced(from, reply);
    }
    if (durable < last_matched) {
        reply.match_index = last_matched;
        send_when_synced(from, reply, m_persist.last_issued());
    }
}

void replica_core::store_new_entries(std::vector<entry>& received)
{
    auto first_new = received.begin();
    while (first_new != received.end() &&
           (first_new->index <= m_commit || m_log.term_at(first_new->index) == first_new->term)) {
        ++first_new;
    }
    if (first_new == received.end()) {
        return;
    }
    std::vector<entry> added(std::make_move_iterator(first_new),
                             std::make_move_iterator(received.end()));
    m_log.truncate_from(added.front().index);
    for (const entry& each : added) {
        m_log.append(each);
    }
    persist_hard_state_if_dirty();
    const persist_token token = m_persist.issue_entries(added.front().index, added.back().index);
    m_effects.emplace_back(persist_entries{token, std::move(added)});
}

} // namespace damaskladder::consensus
