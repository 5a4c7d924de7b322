#pragma once

#include "daemon/log_rate_limiter.hpp"
#include "daemon/messenger.hpp"
#include "daemon/process_settings.hpp"
#include "daemon/replica_directory.hpp"
#include "daemon/replica_host.hpp"
#include "propagation/confirmation_monitor.hpp"
#include "propagation/propagation_relay.hpp"
#include "propagation/propagation_source.hpp"
#include "propagation/upstream_candidates.hpp"
#include "settings/compiled_settings.hpp"
#include "settings/setting_tree.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace damaskladder::daemon {

/// Runs the propagation of settings on the control thread: this process as a node, as a relay for
/// other nodes and, if it runs a control replica, as a source.
class propagation_host {
public:
    struct hooks {
        std::function<void(std::shared_ptr<const settings::compiled_settings>)> changed;
        /// The settings were known to be the newest at this local time.
        std::function<void(base::time_point)> confirmed;
        /// Adds what the membership knows: the relays and replicas of the own failure domain and
        /// the size of the fleet.
        std::function<void(propagation::upstream_candidates&)> add_nearby;
    };

    /// The directory is updated with the members that the replica or another process reports.
    /// replica is null if this process runs no control replica.
    propagation_host(http::event_loop& loop, messenger& messages, const process_settings& settings,
                     replica_directory& directory, replica_host* replica, hooks callbacks);

    void start();

    /// Reports a change applied by the control replica.
    void replica_changed(base::settings_version version);

    /// Versions in force in each failure domain, as known to the leading control replica.
    std::vector<propagation::domain_status> statuses() const;

private:
    void tick();
    void update_upstreams(const std::optional<consensus::replica_id>& leader);
    /// Passes the members of the replicated log, as known to the replica of this process or to the
    /// replicas that it polls, to the directory and to the pollers.
    void update_replicas(const consensus::configuration& members);
    void learn_members(const consensus::configuration& members);
    /// The process to poll if this replica leads; m_own_source if it is this process.
    std::optional<propagation::peer> peer_of(const consensus::replica_id& leader) const;
    void confirm();
    void log_confirmation(base::time_point now);
    void log_unanswered_polls(std::size_t count, base::time_point now);
    void receive(const base::node_id& sender, const propagation::message& body);
    /// Performs effects of the relay or, if sender is m_own_source, of the source.
    void perform(const propagation::effects& effects, const base::node_id& sender);
    void perform_relay(const propagation::effects& effects) { perform(effects, m_settings.name); }
    void perform_source(const propagation::effects& effects) { perform(effects, m_own_source); }
    void confirm_read(propagation::read_id id);
    bool leads() const { return m_replica != nullptr && m_replica->leads(); }

    propagation::settings_hooks make_settings_hooks();
    bool apply(const propagation::settings_difference& difference);
    bool replace(const propagation::settings_copy& copy);
    void publish_settings();
    /// Logs the version that has come into force, and how long it took since `started`.
    void log_applied(std::string_view form, const propagation::settings_bytes& bytes,
                     base::time_point started);
    propagation::settings_copy copy_of_replica() const;

    http::event_loop& m_loop;
    messenger& m_messages;
    const process_settings& m_settings;
    replica_directory& m_directory;
    replica_host* m_replica;
    hooks m_hooks;
    /// Peer name that stands for this process's own control replica as a source; distinct from the
    /// node name, since a node does not poll itself.
    base::node_id m_own_source;
    settings::setting_tree m_tree;
    base::time_point m_confirmed_at;
    base::settings_version m_replica_version;
    propagation::propagation_relay m_relay;
    std::optional<propagation::propagation_source> m_source;
    propagation::confirmation_monitor m_confirmations;
    log_rate_limiter m_unanswered_log_limiter;
};

} // namespace damaskladder::daemon
