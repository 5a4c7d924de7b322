#pragma once

#include "daemon/messenger.hpp"
#include "daemon/process_settings.hpp"
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

/// The right to accrue tokens of this failure domain, on the control thread: the vote of this node
/// if the settings name it as a lease voter, its candidacy, and the holder while it has the lease.
class quota_host {
public:
    struct hooks {
        /// The voters of the replicated log, if this process is one of them; else empty.
        std::function<std::vector<base::node_id>()> control_voters;
        /// Passes a message or the holder to the buckets on the traffic thread.
        std::function<void(const quota::quota_message&)> to_buckets;
        std::function<void(const std::optional<quota::holder_id>&)> set_holder;
        std::function<void(const std::vector<quota::workspace_quota>&)> set_quotas;
    };

    quota_host(http::event_loop& loop, messenger& messages, const process_settings& settings,
               base::incarnation incarnation, const membership::membership_node& members,
               hooks callbacks);

    void start() { tick(); }
    void set_settings(const settings::compiled_settings& settings);
    /// Sends a message of the buckets.
    void send(const quota::quota_send& wanted);
    /// Recalls what is lent and gives up the lease.
    void stop();
    bool stopped() const;

private:
    void tick();
    void update_holder(base::time_point now);
    /// Replaces the voters of the lease.
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
    base::incarnation m_incarnation;
    const membership::membership_node& m_members;
    hooks m_hooks;

    std::vector<base::node_id> m_voters;
    std::vector<base::node_id> m_other_voters;
    quota::domain_share m_share;
    /// The settings name no failure domains: one lease, voted on by the control replicas, stands
    /// for the whole rates.
    bool m_pooled = true;
    /// Whose rates the lease stands for; empty if pooled.
    base::failure_domain_id m_domain;
    base::message_address m_holder_address;
    base::settings_version m_version;
    std::vector<quota::workspace_quota> m_quotas;

    std::optional<lease::lease_voter> m_voter;
    std::optional<lease::lease_candidate> m_candidate;
    std::optional<quota::domain_holder> m_holder;
    /// The holder of this failure domain as last heard, and until when that counts.
    std::optional<quota::holder_id> m_known_holder;
    base::time_point m_known_until;
    /// Holders of the other failure domains.
    std::map<base::failure_domain_id, wire::holder_notice> m_peers;
    std::map<base::failure_domain_id, base::time_point> m_peers_until;
    base::time_point m_next_notice;
    bool m_stopping = false;
};

} // namespace damaskladder::daemon
