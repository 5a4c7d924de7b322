#pragma once

#include "base/node_id.hpp"
#include "base/random_source.hpp"
#include "base/time.hpp"
#include "membership/active_clock.hpp"
#include "membership/domain_exchange.hpp"
#include "membership/effects.hpp"
#include "membership/failure_detector.hpp"
#include "membership/member_table.hpp"
#include "membership/membership_options.hpp"
#include "membership/message.hpp"
#include "membership/node_identity.hpp"
#include "membership/observer_rings.hpp"
#include "membership/pending_tombstones.hpp"
#include "membership/refutation_timer.hpp"
#include "membership/repair_monitor.hpp"
#include "membership/service_view.hpp"
#include "membership/update_queue.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace damaskladder::membership {

/// Membership as one node runs it: joins through seeds, sends heartbeats to its observers, judges
/// the nodes that it observes, passes news on and publishes the view of services.
///
/// Call start() once, then tick() each tick_interval and receive() for each message; perform the
/// effects in their order. Sending may fail silently. Not safe for use by several threads; the
/// published views are.
class membership_node {
public:
    membership_node(const node_identity& identity, membership_options options,
                    base::random_source random);

    effects start(base::time_point now);
    effects tick(base::time_point now);
    /// Takes a message whose sender the envelope proves. Messages beyond the limits are dropped.
    effects receive(const base::node_id& from, const message& body, base::time_point now);

    /// Publishes the backend servers of the own VM; excess ones are left out.
    effects set_backends(std::vector<backend_server> backends, base::time_point now);
    /// Publishes the load; changes within load_interval are held back and the last one is sent.
    effects set_load(load_level load, base::time_point now);
    /// Replaces the services whose backend servers in other failure domains the view shows. Those
    /// of the own failure domain are always in it.
    effects set_subscription(service_subscription subscription, base::time_point now);
    /// Tells the fleet that this node stops. Go on calling tick() for some intervals, since the
    /// news is repeated against loss.
    effects leave(base::time_point now);

    /// Never null. Replaced only on change.
    std::shared_ptr<const service_view> view() const { return m_view; }
    const member_table& members() const { return m_table; }
    /// The own record as last published.
    const member_record& self() const { return m_self; }
    /// The alive nodes of lowest rank in the own failure domain, at most two.
    std::vector<endpoint> relays() const;
    bool is_relay() const;
    /// Messages dropped because they exceeded a limit.
    std::uint64_t refused_messages() const { return m_refused; }

private:
    void begin_event(base::time_point now);
    effects finish_event();
    void reset_members();

    void handle(const base::node_id& from, const heartbeat& body);
    void handle(const base::node_id& from, const member_update& body);
    void handle(const base::node_id& from, const probe& body);
    void handle(const base::node_id& from, const observer_vote& body);
    void handle(const base::node_id& from, const join& body);
    void handle(const base::node_id& from, const sync_request& body);
    void handle(const base::node_id& from, const sync_records& body);
    void handle(const base::node_id& from, const domain_hello& body);
    void handle(const base::node_id& from, const domain_update& body);
    void handle(const base::node_id& from, const domain_summary& body);
    void handle(const base::node_id& from, const subscribe& body);
    void handle(const base::node_id& from, const domain_states& body);
    domain_context context() const;

    void merge_record(const base::node_id& from, const member_record& record);
    void merge_synced_record(const base::node_id& from, const member_record& record);
    void check_own_record(const base::node_id& from, const member_record& record);
    void handle_suspicion(const base::node_id& from, const observer_vote& body);
    void publish_self(base::incarnation incarnation);
    void refute();

    void try_join();
    void send_join(const base::message_address& address);
    std::vector<base::message_address> rejoin_candidates() const;
    void run_detector();
    void declare_dead(const base::node_id& subject);
    void cast_vote(const base::node_id& subject);
    void apply_unrefuted_tombstones();
    void send_heartbeats();
    heartbeat make_heartbeat(std::vector<member_record> records);

    void send_to(const base::node_id& to, const base::message_address& address, message body);
    void send_to_member(const base::node_id& node, message body);
    void send_records(const endpoint& to, const std::vector<member_record>& records);
    void flush_urgent();
    void request_sync(const base::node_id& from, const base::message_address& address);
    void refresh_rings();
    void refresh_view();

    membership_options m_options;
    base::random_source m_random;
    member_record m_self;
    member_table m_table;
    observer_rings m_rings;
    failure_detector m_detector;
    active_clock m_active_clock;
    update_queue m_update_queue;
    repair_monitor m_repairs;
    pending_tombstones m_pending_tombstones;
    refutation_timer m_refutation;
    domain_exchange m_domains;

    base::time_point m_now{};
    /// Awake time of the last message of anyone.
    base::duration m_last_received{};
    base::sequence_number m_sequence;
    base::time_point m_next_heartbeat{};
    base::time_point m_next_join{};
    base::time_point m_next_load{};
    base::time_point m_next_view{};
    base::time_point m_next_cleanup{};
    base::time_point m_next_rings{};
    std::optional<load_level> m_pending_load;
    base::incarnation m_highest_seen_incarnation;
    base::node_id m_refutation_receiver;
    std::map<base::node_id, base::time_point> m_suspecting;
    base::time_point m_next_suspicion_refutation{};
    std::size_t m_leave_repeats_left = 0;

    /// Changes of this event, to be sent at once, and who told of them.
    std::vector<member_record> m_urgent;
    base::node_id m_urgent_source;
    std::vector<send> m_sends;
    /// Records taken now are not passed on.
    bool m_suppress_forwarding = false;
    base::time_point m_suppress_forwarding_until{};
    bool m_rings_stale = true;
    bool m_view_stale = true;
    bool m_view_changed = false;
    bool m_left = false;
    std::shared_ptr<const service_view> m_view;
    std::uint64_t m_refused = 0;
};

} // namespace damaskladder::membership
