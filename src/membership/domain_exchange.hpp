#pragma once

#include "base/failure_domain_id.hpp"
#include "base/node_id.hpp"
#include "base/random_source.hpp"
#include "membership/domain_context.hpp"
#include "membership/domain_options.hpp"
#include "membership/message.hpp"
#include "membership/remote_domain.hpp"
#include "membership/send.hpp"
#include "membership/service_subscription.hpp"
#include "membership/service_view.hpp"

#include <map>
#include <vector>

namespace damaskladder::membership {

/// Membership exchange with other failure domains.
///
/// Every node subscribes, at the relays of its failure domain, to the services that it calls.
/// Relays send hellos with the union of these subscriptions to the relays of each other failure
/// domain. A relay that received a hello sends matching changes immediately, and a summary of all
/// matching records when the digests differ. The protocol tolerates that two nodes both act as the
/// same relay.
class domain_exchange {
public:
    domain_exchange(endpoint self, base::failure_domain_id domain, domain_options options,
                    base::random_source random);

    /// Replaces this node's subscription.
    void set_subscription(service_subscription subscription);

    void tick(const domain_context& context);
    /// Handles a changed record of the local failure domain. `before` is null if the node was
    /// unknown.
    void member_changed(const member_record* before, const member_record& after,
                        const domain_context& context);

    void handle(const domain_hello& body, const domain_context& context);
    void handle(const base::node_id& from, const subscribe& body, const domain_context& context);
    void handle(const domain_states& body, const domain_context& context);
    void handle(const domain_update& body, const domain_context& context);
    void handle(const domain_summary& body, const domain_context& context);

    /// Relays of another failure domain; empty if it is unknown.
    std::vector<endpoint> relays_of(const base::failure_domain_id& domain) const;
    /// Adds the backend servers of other failure domains that match this node's subscription.
    void add_to(service_view& view) const;

    std::vector<send> take_pending_sends();
    /// Returns true once after a change that affects the view.
    bool take_changed();

private:
    struct subscriber {
        base::message_address address;
        service_subscription subscription;
    };

    remote_domain* find(const base::failure_domain_id& domain);
    remote_domain* find_or_add(const base::failure_domain_id& domain);
    void add_unknown_domain(const domain_relays& contact_points, const domain_context& context);
    void record_contact(remote_domain& known, const domain_context& context);
    void set_reachability(remote_domain& known, reachability reach, const domain_context& context);

    void update_role(const domain_context& context);
    void expire_domains(const domain_context& context);
    void send_hellos(const domain_context& context);
    void send_hello(const endpoint& to, const base::failure_domain_id& domain,
                    const domain_context& context);
    void contact_seed(const domain_context& context);
    void send_subscriptions(const domain_context& context);
    void send_states(const endpoint& to);
    void send_summary(const endpoint& to, const base::failure_domain_id& domain,
                      const member_table& members, const service_subscription& subscription,
                      const domain_context& context);
    void apply_records(remote_domain& known, const base::failure_domain_id& domain,
                       const std::vector<member_record>& records, const domain_context& context);
    void remove_member(remote_domain& known, const base::failure_domain_id& domain,
                       const base::node_id& node);
    void forward_to_subscribers(const base::failure_domain_id& domain, const member_record* before,
                                const member_record& after);
    void prune_state(const domain_context& context);
    service_subscription merged_subscription(const domain_context& context) const;
    std::vector<domain_state> states() const;
    table_digest states_digest() const;

    endpoint m_self;
    base::failure_domain_id m_domain;
    domain_options m_options;
    base::random_source m_random;
    service_subscription m_subscription;
    std::map<base::failure_domain_id, remote_domain> m_domains;
    std::map<base::node_id, subscriber> m_subscribers;
    /// Earliest time of the next summary per receiver and failure domain.
    std::map<endpoint, base::time_point> m_next_summary;
    base::sequence_number m_summary;
    base::time_point m_next_hello{};
    base::time_point m_next_subscribe{};
    bool m_was_relay = false;
    std::vector<endpoint> m_last_relays;
    /// Active time of the last answer of a relay.
    base::duration m_last_relay_contact{};
    std::size_t m_hello_rounds = 0;
    std::vector<send> m_sends;
    bool m_changed = false;
};

} // namespace damaskladder::membership
