#pragma once

#include "base/random_source.hpp"
#include "base/time.hpp"
#include "consensus/deferred_message.hpp"
#include "consensus/effect.hpp"
#include "consensus/entry_log.hpp"
#include "consensus/event.hpp"
#include "consensus/leader_state.hpp"
#include "consensus/persist_tracker.hpp"
#include "consensus/recovered_state.hpp"
#include "consensus/replica_options.hpp"
#include "consensus/replica_status.hpp"
#include "consensus/snapshot_receiver.hpp"
#include "consensus/vote_tally.hpp"

#include <deque>
#include <optional>
#include <variant>
#include <vector>

namespace damaskladder::consensus {

/// Raft state machine behind `replica`. Implemented in replica_core.cpp (events, persistence,
/// sending, applying), replica_election.cpp, replica_follower.cpp, replica_leader.cpp,
/// replica_membership.cpp and replica_snapshot.cpp.
class replica_core {
public:
    replica_core(replica_options options, recovered_state state, base::random_source random);

    std::vector<effect> start(base::time_point now);
    std::vector<effect> handle(event happened, base::time_point now);
    replica_status status() const;

private:
    std::vector<member_contact> contacts() const;
    /// Extends deadlines after this replica itself did not run for a while, because it applied a
    /// long log or its VM was paused. Messages received meanwhile are still unread, so the time
    /// since the last tick does not count as silence of the others.
    void extend_deadlines_after_stall();

    // Events.
    void on(message_received& received);
    void on(propose& request);
    void on(const read_requested& request);
    void on(const membership_change_requested& request);
    void on(const tick& passed);
    void on(const sync_completed& completed);
    void on(const storage_failed& failed);
    void on(snapshot_taken& taken);
    void on(const transfer_requested& request);

    // Messages.
    void receive(const replica_identity& from, const pre_vote_request& request);
    void receive(const replica_identity& from, const pre_vote_reply& reply);
    void receive(const replica_identity& from, const vote_request& request);
    void receive(const replica_identity& from, const vote_reply& reply);
    void receive(const replica_identity& from, append_request& request);
    void receive(const replica_identity& from, const append_reply& reply);
    void receive(const replica_identity& from, const snapshot_chunk& chunk);
    void receive(const replica_identity& from, const snapshot_reply& reply);
    void receive(const replica_identity& from, const timeout_now& request);

    // Persistence and sending. No message leaves before term and vote are synced.
    void persist_hard_state_if_dirty();
    void send_when_synced(const replica_identity& to, message body, persist_token written = {});
    void send_synced_messages();
    void append_as_leader(std::vector<entry> added);
    void announce_configuration();

    // Committing and applying.
    void commit_up_to(log_index index);
    void apply_committed_entries();
    bool snapshot_is_due() const;
    void request_snapshot_if_due();

    // Elections.
    bool is_bootstrapping() const;
    bool can_campaign() const;
    bool leader_is_alive() const;
    bool is_up_to_date(log_index last_index, term_number last_term) const;
    bool accepts_bootstrap(const replica_identity& from, bool bootstrap) const;
    void reset_election_deadline();
    void adopt_term(term_number term);
    void become_follower(term_number term);
    void start_pre_vote();
    void start_election(bool transfer);
    void request_votes(const message& request);
    void count_vote(const replica_identity& voter);
    bool has_won() const;
    void become_leader();
    configuration first_configuration() const;
    void step_down();

    // Following.
    void accept_leader(const replica_identity& from, term_number term);
    bool log_matches(const append_request& request) const;
    log_index conflict_hint(log_index previous) const;
    void store_new_entries(std::vector<entry>& received);

    // Leading.
    void leader_tick();
    /// Whether this replica's disk is so far behind that it should not lead.
    bool disk_is_behind() const;
    bool has_quorum_contact(const configuration& members) const;
    follower_progress* record_contact(const replica_identity& from, term_number term,
                                      round_number round);
    void begin_round();
    void begin_round_if_needed();
    void send_heartbeat(follower_progress& follower);
    void send_entries(follower_progress& follower);
    void send_append(follower_progress& follower, log_index previous, std::vector<entry> entries);
    void handle_rejection(follower_progress& follower, const append_reply& reply);
    void replicate();
    void send_commit_index();
    void advance_commit();
    void confirm_reads();
    void refuse(std::variant<proposal_id, read_id> request, refusal_reason reason);
    std::optional<replica_id> known_leader() const;
    void continue_leadership_transfer();

    // Membership.
    bool current_term_committed() const;
    std::optional<refusal_reason> check_change(const membership_change& change) const;
    void append_configuration(configuration changed);
    void refresh_followers();
    /// Promotes a learner that has caught up, once every voter has answered a round that began
    /// after that. A learner that replaces a lost voter is therefore promoted only after that voter
    /// has been removed: otherwise the quorum would count on both, and the next loss could stop the
    /// cluster for good.
    void promote_learner_if_due();
    bool has_caught_up(const follower_progress& follower) const;
    bool all_voters_answered_after(round_number round) const;
    void step_down_if_removed();

    // Snapshot transfer.
    void begin_snapshot_transfer(follower_progress& follower);
    void send_snapshot_chunk(follower_progress& follower);
    void install_received_snapshot();

    replica_options m_options;
    base::random_source m_random;
    replica_identity m_self;
    base::time_point m_now;

    replica_role m_role = replica_role::follower;
    hard_state m_hard_state;
    bool m_hard_state_dirty = false;
    persist_token m_hard_state_token;

    entry_log m_log;
    log_index m_commit;
    log_index m_applied;
    log_index m_snapshot_requested_at;
    /// Size of the entries applied since the last snapshot was requested or installed.
    base::byte_count m_applied_since_snapshot;
    persist_tracker m_persist;
    std::deque<deferred_message> m_deferred;
    std::vector<effect> m_effects;
    configuration m_announced_configuration;

    std::optional<replica_identity> m_leader;
    base::time_point m_last_contact;
    base::time_point m_election_deadline;
    base::time_point m_last_tick;
    vote_tally m_tally;
    bool m_own_vote_counted = false;
    bool m_awaiting_admission = false;

    snapshot_receiver m_receiver;
    /// Set if and only if m_role is leader.
    std::optional<leader_state> m_leader_state;
};

} // namespace damaskladder::consensus
