#pragma once

#include "daemon/claims_host.hpp"
#include "daemon/dialect.hpp"
#include "daemon/messenger.hpp"
#include "daemon/node_host.hpp"
#include "daemon/operator_api.hpp"
#include "daemon/process_settings.hpp"
#include "daemon/propagation_host.hpp"
#include "daemon/quota_host.hpp"
#include "daemon/replica_host.hpp"
#include "daemon/replica_membership_host.hpp"
#include "daemon/signal_watch.hpp"
#include "daemon/stop_schedule.hpp"
#include "daemon/traffic_thread.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace damaskladder::daemon {

/// Owns the control state of a process: membership, settings copy, leases, tokens and claims of the
/// node, and the control replica, as configured by the settings. Runs on the thread that calls
/// run().
class control_thread {
public:
    control_thread(const process_settings& settings, const wire::cluster_secret& secret,
                   base::incarnation incarnation, dialect http_dialect);

    /// Opens sockets and files and starts the traffic thread. Fails if one of them cannot be
    /// opened.
    base::result<void> start();

    /// Runs until a signal has stopped the process. `read_again` reads the settings file on SIGHUP.
    void run(const signal_watch& signals,
             std::function<std::optional<process_settings_document>()> read_again);

private:
    void start_node_parts();
    control_requests make_requests();
    void on_settings_changed(std::shared_ptr<const settings::compiled_settings> compiled);
    void on_signal(int number);
    void reload();
    void log_messages_sent();
    void begin_stop();
    /// Leaves the fleet, so that other nodes send no more calls to this one.
    void leave_fleet();
    void stop_traffic();
    void finish_stop(base::time_point now);

    dialect m_dialect;
    /// Changed only by reload(), on the control thread.
    process_settings m_settings;
    std::function<std::optional<process_settings_document>()> m_read_again;
    const wire::cluster_secret& m_secret;
    base::incarnation m_incarnation;
    replica_directory m_directory;
    http::event_loop m_loop;
    messenger m_messages;
    std::unique_ptr<replica_host> m_replica;
    std::unique_ptr<replica_membership_host> m_replica_membership;
    std::unique_ptr<operator_api> m_operators;
    std::unique_ptr<node_host> m_node;
    std::unique_ptr<quota_host> m_quota;
    std::unique_ptr<propagation_host> m_propagation;
    std::unique_ptr<claims_host> m_claims;
    std::unique_ptr<traffic_thread> m_traffic;

    /// Set by the first signal to stop.
    std::optional<stop_schedule> m_stop;
    bool m_traffic_stopped = true;
    bool m_fleet_left = false;
    bool m_traffic_stopping = false;
    bool m_accepting_stopped = false;
};

} // namespace damaskladder::daemon
