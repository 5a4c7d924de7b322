#pragma once

#include "base/incarnation.hpp"
#include "control/control_replica.hpp"
#include "daemon/process_settings.hpp"
#include "daemon/storage_thread.hpp"
#include "http/event_loop.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>

namespace damaskladder::daemon {

/// Runs a control replica on the control thread's event loop, with its storage on a separate
/// thread.
class replica_host {
public:
    using submit_done =
        std::function<void(const std::variant<control::reply, control::submission_refused>&)>;
    /// Receives null if the query was confirmed.
    using query_done = std::function<void(const control::submission_refused* refused)>;

    struct hooks {
        /// Sends a message to the control replica named in the envelope.
        std::function<void(const consensus::envelope&)> send;
        /// Reports a new version of the settings, which state() returns.
        std::function<void(base::settings_version)> settings_changed;
    };

    replica_host(http::event_loop& loop, const process_settings& settings, hooks callbacks);

    /// Opens the data folder and starts the replica. Fails as file_storage::open does.
    base::result<void> start();

    void receive(consensus::envelope message);
    void submit(const control::command& entry, submit_done done);
    void change_members(consensus::membership_change wanted, submit_done done);
    void query(query_done done);
    /// Transfers leadership, for a graceful stop. Repeated from then on whenever this replica
    /// leads, because a transfer is abandoned if no other voter takes over in time.
    void transfer_leadership();

    const control::control_replica& replica() const { return *m_replica; }
    control::control_replica& replica() { return *m_replica; }
    /// Voters of the replicated log, sorted by name.
    std::vector<base::node_id> voters() const;
    /// Whether this process may form a cluster with the other listed replicas at this start.
    bool forms_cluster() const { return m_forms_cluster; }
    bool leads() const { return m_replica && m_replica->leads(); }

private:
    void tick();
    void step(consensus::event new_event);
    void perform(control::control_replica::effects effects);
    void perform(const control::submission_answered& effect);
    void perform(const control::submission_refused& effect);
    void perform(const control::query_confirmed& effect);
    void perform(const control::leadership_changed& effect);
    void create_first_admin();
    void transfer_if_due();
    void advance_log_time();
    /// Logs the leader and the members that this replica knows, when they change.
    void log_cluster_changes();

    http::event_loop& m_loop;
    const process_settings& m_settings;
    hooks m_hooks;
    std::unique_ptr<control::control_replica> m_replica;
    std::unique_ptr<storage_thread> m_storage;
    /// Queue of pending effects. Effects that result from performing one are appended, so that
    /// entries are written to disk in order.
    std::deque<control::control_replica::effects::value_type> m_effects;
    bool m_performing = false;
    bool m_forms_cluster = false;
    std::uint64_t m_last_submission = 0;
    /// Set by transfer_leadership().
    std::optional<base::time_point> m_next_transfer;
    base::time_point m_next_log_time;
    base::time_point m_next_cluster_log;
    std::optional<consensus::replica_id> m_logged_leader;
    consensus::configuration m_logged_members;
    std::unordered_map<control::submission_id, submit_done> m_submissions;
    std::unordered_map<control::submission_id, query_done> m_queries;
};

} // namespace damaskladder::daemon
