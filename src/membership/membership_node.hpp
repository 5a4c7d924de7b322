#pragma once

#include "base/node_id.hpp"
#include "base/random_source.hpp"
#include "base/time.hpp"
#include "membership/active_clock.hpp"
#include "membership/domain_exchange.hpp"
#include "membership/effects.hpp"
#include "membership/endings_confirmation.hpp"
#include "membership/endings_recovery.hpp"
#include "membership/failure_detector.hpp"
#include "membership/kept_endings.hpp"
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
#include "membership/urgent_updates.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace damaskladder::membership {

/// Membership protocol of one node: joins through seeds, sends heartbeats to its observers, detects
/// failures of the nodes that it observes, forwards updates and publishes the service view.
///
/// Call start() once, then tick() every tick_interval and receive() for each message, and perform
/// the returned effects in order. Sending may fail silently. Not thread-safe, except that published
/// views may be read by any thread.
class membership_node {
public:
    membership_node(const node_identity& identity, membership_options options,
                    base::random_source random);

    effects start(base::time_point now);
    effects tick(base::time_point now);
    /// Handles a message whose sender was authenticated by the envelope. Drops messages that exceed
    /// the limits.
    effects receive(const base::node_id& from, const message& body, base::time_point now);

    /// Publishes the backend servers of this VM, and the endings of their runs for other nodes to
    /// keep, newest last. Servers beyond backends_per_node and the oldest endings beyond
    /// run_endings_per_node are left out.
    effects set_backends(std::vector<backend_server> backends, base::time_point now,
                         std::vector<run_ending> endings = {});
    /// Publishes the load level. Changes within load_interval are delayed, and only the last one is
    /// published.
    effects set_load(load_level load, base::time_point now);
    /// Replaces the set of services whose backend servers in other failure domains are part of the
    /// view. Backend servers of the local failure domain are always included.
    effects set_subscription(service_subscription subscription, base::time_point now);
    /// Notifies the fleet that this node stops. Continue to call tick() for some intervals, because
    /// the update is repeated in case messages are lost.
    effects leave(base::time_point now);

    /// Current view; never null. The object is replaced only when the content changes.
    std::shared_ptr<const service_view> view() const { return m_view; }
    const member_table& members() const { return m_table; }
    /// This node's record as last published.
    const member_record& self() const { return m_self; }
    /// Relays of the local failure domain: its first alive nodes by id, at most two.
    std::vector<endpoint> relays() const;
    bool is_relay() const;
    /// Number of the list of endings that set_backends() published last.
    endings_number published_endings() const { return m_confirmation.newest(); }
    /// The newest list that a majority of this node's observers holds. Every list if it is empty or
    /// the node is the only member of its group. Endings up to this list may be confirmed.
    endings_number confirmed_endings() const;
    /// Whether the node has learned after its start which endings an earlier process of it has
    /// confirmed; until then its backend servers may have left and should not be published. True
    /// for good once a majority of the observers has answered, or when the node has waited so long
    /// that it is the only member or cut off from most of the others; see endings_recovery.
    bool knows_earlier_endings() const { return m_recovery.complete(); }
    /// Number of messages dropped because they exceeded a limit.
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
    void handle(const base::node_id& from, const keep_endings& body);
    void handle(const base::node_id& from, const endings_kept& body);
    void handle(const base::node_id& from, const endings_query& body);
    void handle(const base::node_id& from, const endings_reply& body);
    domain_context context() const;

    void merge_record(const base::node_id& from, const member_record& record);
    void merge_synced_record(const base::node_id& from, const member_record& record);
    void check_own_record(const base::node_id& from, const member_record& record);
    /// Reports endings that this process of the node has not published.
    void recover_endings(const std::vector<run_ending>& endings);
    /// Sends the endings to observers that do not hold them, and asks those that have not said
    /// which ones they hold.
    void exchange_endings();
    std::vector<endings_confirmation::holder> ending_holders() const;
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
    /// Passes the collected urgent updates on to the observers.
    void send_urgent();
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
    base::incarnation m_process;
    kept_endings m_kept_endings;
    endings_confirmation m_confirmation;
    endings_recovery m_recovery;

    base::time_point m_now{};
    /// Active time of the last message from any node.
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

    urgent_updates m_urgent;
    /// Sender of the message that is being handled; this node outside of receive().
    base::node_id m_source;
    std::vector<send> m_sends;
    std::vector<run_ending> m_recovered_endings;
    /// True while merged records must not be forwarded.
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
