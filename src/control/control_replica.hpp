#pragma once

#include "consensus/replica.hpp"
#include "control/replica_effect.hpp"
#include "control/state_machine.hpp"

#include <optional>
#include <vector>

namespace damaskladder::control {

/// A control replica, driven by events: the replicated log and the state machine that applies it.
///
///     control_replica replica(log_options, recovered, state_options, random);
///     auto effects = replica.start(now);
///     effects = replica.handle(consensus::tick{}, now);
///     // Ends with submission_answered or submission_refused.
///     effects = replica.submit(id, command, wall_now, now);
///     // Ends with query_confirmed or submission_refused.
///     effects = replica.query(id, now);
///
/// Uses no thread, clock, file or socket. The caller carries out the effects in order and
/// acknowledges persist effects with consensus::sync_completed or storage_failed. All calls to one
/// replica must be made on one thread.
class control_replica {
public:
    using effects = std::vector<replica_effect>;

    control_replica(consensus::replica_options log, consensus::recovered_state recovered,
                    const state_options& options, base::random_source random);

    effects start(base::time_point now);
    effects handle(consensus::event input, base::time_point now);

    /// Proposes a command for replication. wall_now becomes log time unless log time is already
    /// later.
    effects submit(submission_id id, const command& entry, base::wall_time wall_now,
                   base::time_point now);
    /// Adds, replaces or removes a replica. The reply is change_verdict::accepted.
    effects change_members(submission_id id, consensus::membership_change member_change,
                           base::time_point now);
    /// Requests confirmation that state() is up to date.
    effects query(submission_id id, base::time_point now);

    const state_machine& state() const { return m_state; }
    /// Mutable access for pre_check, which leaves the state unchanged.
    state_machine& state() { return m_state; }
    consensus::replica_status status() const { return m_consensus.status(); }
    bool leads() const { return m_leads; }
    /// Committed entries that could not be decoded and had no effect. More than 0 means that
    /// replicas of different program versions run together.
    std::uint64_t unreadable_entries() const { return m_unreadable_entries; }

private:
    void process(std::vector<consensus::effect> log_effects, effects& out, base::time_point now);
    void process(consensus::apply_committed& log_effect, effects& out);
    void process(const consensus::install_snapshot& log_effect, effects& out);
    void process(const consensus::refused& log_effect, effects& out);
    void update_leadership(bool leads, effects& out);
    void emit_version_change(effects& out);

    consensus::replica m_consensus;
    state_machine m_state;
    base::settings_version m_version;
    bool m_leads = false;
    std::uint64_t m_unreadable_entries = 0;
};

} // namespace damaskladder::control
