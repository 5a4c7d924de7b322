#include "daemon/replica_membership_host.hpp"

#include "consensus/requests_admission.hpp"
#include "daemon/log.hpp"

#include <algorithm>

namespace damaskladder::daemon {

namespace {

// Several intervals fit into the lifetime of a request.
constexpr base::duration tick_interval = std::chrono::milliseconds(300);

consensus::membership_policy_options policy_options(const process_settings& settings)
{
    consensus::membership_policy_options options;
    options.min_remaining_voters = std::max(
        options.min_remaining_voters, std::size_t{2} * settings.replica->tolerated_losses + 1);
    return options;
}

} // namespace

replica_membership_host::replica_membership_host(http::event_loop& loop, messenger& messages,
                                                 const process_settings& settings,
                                                 const replica_directory& directory,
                                                 replica_host& replica)
    : m_loop(loop),
      m_messages(messages),
      m_settings(settings),
      m_directory(directory),
      m_replica(replica),
      m_policy(policy_options(settings))
{
    m_messages.on_message<wire::replica_request>(
        wire::message_kind::replica_requests,
        [this](const auto&, const auto& request) { receive(request); });
}

void replica_membership_host::tick()
{
    const auto now = http::event_loop::now();
    const auto status = m_replica.replica().status();
    const bool forms =
        status.members.members.empty() && !status.awaiting_admission && m_replica.forms_cluster();
    if (m_leaving) {
        // Repeated, because a request that arrives while leadership moves away from this replica is
        // forwarded to this replica itself.
        request_removal();
    }
    else if (consensus::requests_admission(status) && !forms) {
        send_to_known_replicas({status.identity, false, false});
    }
    if (const auto change = m_policy.next_change(status, now)) {
        request_change(*change);
    }
    m_loop.call_at(m_loop.next_multiple(tick_interval, now), [this] { tick(); });
}

void replica_membership_host::request_change(const consensus::membership_change& change)
{
    m_replica.change_members(change, [this, change](const auto& result) {
        const bool adds = std::holds_alternative<consensus::add_replica>(change);
        const auto& name = adds ? std::get<consensus::add_replica>(change).identity.id
                                : std::get<consensus::remove_replica>(change).id;
        const auto* refused = std::get_if<control::submission_refused>(&result);
        if (refused == nullptr) {
            log(log_level::info, adds ? "replica_added" : "replica_removed",
                {{"replica", name.value()}});
        }
        else if (m_policy.on_refused(change, refused->reason, http::event_loop::now())) {
            log(log_level::warn, adds ? "replica_not_added" : "replica_not_removed",
                {{"replica", name.value()},
                 {"reason", std::string(consensus::to_string(refused->reason))}});
        }
    });
}

void replica_membership_host::leave()
{
    m_leaving = true;
    request_removal();
}

void replica_membership_host::request_removal()
{
    const wire::replica_request request{m_replica.replica().status().identity, true, false};
    receive(request);
    send_to_known_replicas(request);
}

void replica_membership_host::receive(const wire::replica_request& request)
{
    const auto now = http::event_loop::now();
    const auto status = m_replica.replica().status();
    if (status.role == consensus::replica_role::leader || request.forwarded) {
        if (request.leaving) {
            m_policy.on_leave_request(request.identity, now);
        }
        else {
            m_policy.on_join_request(request.identity, now);
        }
        return;
    }
    if (status.known_leader && status.known_leader->value() != m_settings.name.value()) {
        const base::node_id leader(status.known_leader->value());
        if (const auto address = m_directory.address_of(leader)) {
            m_messages.send(leader, address->value(), wire::message_kind::replica_requests,
                            wire::replica_request{request.identity, request.leaving, true});
        }
    }
}

void replica_membership_host::send_to_known_replicas(const wire::replica_request& request)
{
    for (const auto& replica : m_directory.others()) {
        m_messages.send(replica.node, replica.address.value(), wire::message_kind::replica_requests,
                        request);
    }
}

} // namespace damaskladder::daemon
