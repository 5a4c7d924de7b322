#include "consensus/replica_core.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::consensus {

void replica_core::on(snapshot_taken& taken)
{
    const bool is_useful = m_role != replica_role::halted && taken.last_index <= m_applied &&
                           taken.last_index > m_log.snapshot_index();
    if (!is_useful) {
        return;
    }
    const auto size = base::byte_count(static_cast<std::int64_t>(taken.state.size()));
    if (size > m_options.max_snapshot) {
        m_effects.emplace_back(snapshot_rejected{taken.last_index, size});
        return;
    }
    auto content = std::make_shared<const snapshot>(
        snapshot{taken.last_index, *m_log.term_at(taken.last_index),
                 m_log.members_at(taken.last_index), std::move(taken.state)});
    m_log.compact(content, m_options.retained_before_snapshot);
    persist_hard_state_if_dirty();
    m_effects.emplace_back(
        persist_snapshot{m_persist.issue(), std::move(content), log_disposition::keep_suffix});
}

void replica_core::begin_snapshot_transfer(follower_progress& follower)
{
    follower.state = progress_state::snapshotting;
    follower.in_flight.clear();
    follower.transfer = m_log.newest_snapshot();
    follower.transfer_offset = {};
    send_snapshot_chunk(follower);
}

void replica_core::send_snapshot_chunk(follower_progress& follower)
{
    const snapshot& source = *follower.transfer;
    const auto total = base::byte_count(static_cast<std::int64_t>(source.state.size()));
    const auto offset = static_cast<std::size_t>(follower.transfer_offset.value());
    const auto length = static_cast<std::size_t>(m_options.snapshot_chunk.value());
    follower.chunk_sent_at = m_now;
    send_when_synced(follower.identity,
                     snapshot_chunk{m_hard_state.term, source.last_index, source.last_term,
                                    source.members, total, follower.transfer_offset,
                                    source.state.substr(offset, length), m_leader_state->round});
}

void replica_core::receive(const replica_identity& from, const snapshot_chunk& chunk)
{
    snapshot_reply reply{m_hard_state.term, chunk.last_index, {}, false, chunk.round};
    if (chunk.term < m_hard_state.term) {
        send_when_synced(from, reply);
        return;
    }
    if (m_leader_state && chunk.term == m_hard_state.term) {
        return;
    }
    accept_leader(from, chunk.term);
    reply.term = m_hard_state.term;
    if (chunk.last_index > m_commit) {
        m_receiver.add(from, chunk);
        reply.next_offset = m_receiver.next_offset();
        if (!m_receiver.complete()) {
            send_when_synced(from, reply);
            return;
        }
        install_received_snapshot();
    }
    reply.installed = true;
    send_when_synced(from, reply, m_persist.last_issued());
}

void replica_core::install_received_snapshot()
{
    const auto received = m_receiver.take();
    const log_index last = received->last_index;
    const bool suffix_fits = m_log.term_at(last) == received->last_term;
    const auto disposition =
        suffix_fits ? log_disposition::keep_suffix : log_disposition::discard_all;
    if (!suffix_fits) {
        m_persist.discard_after(m_commit);
    }
    m_log.install(received, disposition);
    m_commit = last;
    m_applied = last;
    m_applied_since_snapshot = {};
    persist_hard_state_if_dirty();
    m_effects.emplace_back(persist_snapshot{m_persist.issue_snapshot(last), received, disposition});
    m_effects.emplace_back(install_snapshot{received});
}

void replica_core::receive(const replica_identity& from, const snapshot_reply& reply)
{
    follower_progress* follower = record_contact(from, reply.term, reply.round);
    if (follower == nullptr) {
        return;
    }
    const bool is_current = follower->state == progress_state::snapshotting &&
                            follower->transfer->last_index == reply.last_index;
    const auto total = [&] {
        return base::byte_count(static_cast<std::int64_t>(follower->transfer->state.size()));
    };
    if (is_current && reply.installed) {
        follower->match = std::max(follower->match, reply.last_index);
        follower->next = index_after(follower->match);
        follower->transfer.reset();
        follower->state = progress_state::replicating;
        send_entries(*follower);
        advance_commit();
    }
    else if (is_current && reply.next_offset >= base::byte_count(0) &&
             reply.next_offset <= total()) {
        const bool advanced = reply.next_offset > follower->transfer_offset;
        follower->transfer_offset = reply.next_offset;
        if (advanced) {
            send_snapshot_chunk(*follower);
        }
    }
    if (m_leader_state) {
        confirm_reads();
    }
}

} // namespace damaskladder::consensus
