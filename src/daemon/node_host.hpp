#pragma once

#include "daemon/local_api.hpp"
#include "daemon/messenger.hpp"
#include "daemon/process_settings.hpp"
#include "daemon/traffic_view.hpp"
#include "daemon/view_builder.hpp"
#include "membership/announcement_registry.hpp"
#include "membership/membership_node.hpp"
#include "membership/pending_confirmations.hpp"
#include "propagation/peer.hpp"
#include "propagation/upstream_candidates.hpp"
#include "settings/compiled_settings.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace damaskladder::daemon {

/// Runs the control functions of a node on the control thread: membership, announcements of the
/// backend server on this VM, and the view for the traffic thread.
class node_host {
public:
    struct hooks {
        /// Publishes a view to the traffic thread.
        std::function<void(std::shared_ptr<const traffic_view>)> publish;
    };

    node_host(http::event_loop& loop, messenger& messages, const process_settings& settings,
              base::incarnation incarnation, hooks callbacks);

    void start();

    /// Set the settings in force, and the local time at which they were known to be the newest.
    void set_settings(std::shared_ptr<const settings::compiled_settings> settings);
    void confirm_settings(base::time_point when);

    /// Handles an announcement. The end of a run is accepted only when other nodes keep it, so that
    /// a restart of this one does not bring the run back; `done` may be called later.
    void announce(local_api::action wanted, const membership::announcement& offer,
                  local_api::done done);
    /// Marks a run of a backend server on this VM as draining.
    void drain_run(const base::instance_id& run);
    /// Withdraws the announcements and notifies the fleet that this node stops.
    void leave();

    /// Builds a view from the current state.
    std::shared_ptr<const traffic_view> view() const;

    /// Adds the size of the fleet, the replicas that run in this failure domain, and its relays
    /// unless this node is one.
    void add_nearby(propagation::upstream_candidates& candidates);

    const membership::membership_node& members() const { return m_membership; }
    std::shared_ptr<const settings::compiled_settings> settings() const { return m_compiled; }

private:
    void tick();
    void perform(const membership::effects& effects);
    membership::announce_verdict apply(local_api::action wanted,
                                       const membership::announcement& offer, base::time_point now);
    /// The announced backend servers. None until this node knows which of them have left according
    /// to what it confirmed before a restart.
    std::vector<membership::backend_server> offered_servers() const;
    std::vector<membership::local_announcement> offered_announcements() const;
    /// Publishes the offered backend servers to the fleet.
    void publish_backends(base::time_point now);
    void publish();
    void update_nearby_relays();
    /// Logs the numbers of known backend servers if they have changed.
    void log_backend_servers();

    http::event_loop& m_loop;
    messenger& m_messages;
    const process_settings& m_settings;
    hooks m_hooks;
    membership::announcement_registry m_announcements;
    membership::membership_node m_membership;
    membership::pending_confirmations m_confirmations;
    base::time_point m_started_at{http::event_loop::now()};
    bool m_knows_earlier_endings = false;
    std::shared_ptr<const settings::compiled_settings> m_compiled;
    std::shared_ptr<const settings_tables> m_tables;
    base::time_point m_confirmed_at;
    bool m_view_stale = true;
    /// Numbers in the last line written by log_backend_servers().
    std::vector<std::size_t> m_logged_servers;
    /// Relays of this failure domain, chosen from the members of this digest.
    std::vector<propagation::peer> m_nearby_relays;
    membership::table_digest m_nearby_digest;
};

} // namespace damaskladder::daemon
