#pragma once

#include "daemon/messenger.hpp"
#include "daemon/process_settings.hpp"
#include "daemon/replica_directory.hpp"
#include "lease/lease_candidate.hpp"
#include "lease/lease_voter.hpp"
#include "membership/membership_node.hpp"
#include "quota/domain_holder.hpp"
#include "settings/compiled_settings.hpp"
#include "wire/holder_notice.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace damaskladder::daemon {

/// Runs the quota lease of this failure domain on the control thread: the lease voter if the
/// settings name this node as one, the lease candidate, and the quota holder while it has the
/// lease. Only the holder accrues tokens.
class quota_host {
public:
    struct hooks {
        /// Voters of the replicated log; empty if this process is not one of them.
        std::function<std::vector<base::node_id>()> control_voters;
        /// Pass a message, the holder or the quotas to the token buckets on the traffic thread.
        std::function<void(const quota::quota_message&)> to_buckets;
        std::function<void(const std::optional<quota::holder_id>&)> set_holder;
        std::function<void(const std::vector<quota::workspace_quota>&)> set_quotas;
    };

    quota_host(http::event_loop& loop, messenger& messages, const process_settings& settings,
               const replica_directory& directory, base::incarnation incarnation,
               const membership::membership_node& members, hooks callbacks);

    void start() { tick(); }
    void set_settings(const settings::compiled_settings& settings);
    /// Sends a message from the token buckets.
    void send(const quota::quota_send& wanted);
    /// Recalls the lent tokens and releases the lease.
    void stop();
    bool stopped() const;

private:
    void tick();
    /// Time until the next tick.
    base::duration interval() const;
    void update_holder(base::time_point now);
    /// Sets the voters of the lease. If they have changed, the candidate is released and, if this
    /// node is a voter, started again.
    void set_voters(std::vector<base::node_id> voters, base::time_point now);
    void send_to_other_domains(const wire::holder_notice& notice);
    void update_holder_settings(base::time_point now);
    void send_notices(base::time_point now);
    void receive_notice(const base::node_id& sender, const wire::holder_notice& notice);
    void receive(const base::node_id& sender, const lease::lease_message& message);
    void receive(const base::node_id& sender, const quota::quota_message& message);
    void perform(const lease::lease_effects& effects);
    void perform(const quota::quota_sends& sends);
    void set_known_holder(const std::optional<quota::holder_id>& holder);
    std::optional<base::message_address> address_of(const base::node_id& node) const;
    template <class Message>
    void send_to(const base::node_id& node, wire::message_kind kind, const Message& message);

    http::event_loop& m_loop;
    messenger& m_messages;
    const process_settings& m_settings;
    const replica_directory& m_directory;
    base::incarnation m_incarnation;
    const membership::membership_node& m_members;
    hooks m_hooks;

    std::vector<base::node_id> m_voters;
    std::vector<base::node_id> m_other_voters;
    quota::domain_share m_share;
    /// Set if the settings name no failure domains: a single lease, voted on by the control
    /// replicas, covers the whole rates.
    bool m_pooled = true;
    /// Failure domain whose rates the lease covers; empty if pooled.
    base::failure_domain_id m_domain;
    base::message_address m_holder_address;
    base::settings_version m_version;
    std::vector<quota::workspace_quota> m_quotas;

    std::optional<lease::lease_voter> m_voter;
    std::optional<lease::lease_candidate> m_candidate;
    std::optional<quota::domain_holder> m_holder;
    /// Last known holder of this failure domain, and the time at which that knowledge expires.
    std::optional<quota::holder_id> m_known_holder;
    base::time_point m_known_until;
    /// Holders of the other failure domains, and the times at which that knowledge expires.
    std::map<base::failure_domain_id, wire::holder_notice> m_peers;
    std::map<base::failure_domain_id, base::time_point> m_peers_until;
    base::time_point m_next_notice;
    bool m_stopping = false;
};

} // namespace damaskladder::daemon
