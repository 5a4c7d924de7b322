#pragma once

#include "admission/controller.hpp"
#include "node/deadline_set.hpp"
#include "node/effect.hpp"
#include "node/event.hpp"
#include "node/gatekeeper_call.hpp"
#include "node/gatekeeper_service.hpp"
#include "node/node_view.hpp"
#include "node/traffic_state.hpp"

#include <cstddef>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace damaskladder::node {

/// The gatekeeper half of a traffic machine. Queues or sheds forwarded calls, obtains claims, sends
/// calls to the local backend server and relays the responses.
class gatekeeper_machine {
public:
    /// Cancels an onward call whose parent call ended without a response.
    using cancel_onward = std::function<void(exchange_id)>;

    explicit gatekeeper_machine(traffic_state& shared);

    /// Current view and time, and the list to which effects are appended.
    struct event_context {
        const node_view& view;
        base::time_point now;
        std::vector<effect>& out;
        const cancel_onward& cancel;
    };

    void on(const call_arrived& received, event_context& ctx);
    void on(const claim_granted& received, event_context& ctx);
    void on(const claim_denied& received, event_context& ctx);
    void on(const transfer_connected& received, event_context& ctx);
    void on(const connect_failed& received, event_context& ctx);
    void on(const transfer_failed& received, event_context& ctx);
    void on(const backend_refused& received, event_context& ctx);
    void on(const response_started& received, event_context& ctx);
    void on(const response_finished& received, event_context& ctx);
    void on(const caller_disconnected& received, event_context& ctx);
    void on(const drain_requested& received, event_context& ctx);
    void on(const backend_state_reported& received, event_context& ctx);
    void on(const tick& received, event_context& ctx);

    bool has(exchange_id exchange) const { return m_calls.count(exchange) != 0; }
    bool has(transfer_id transfer) const { return m_transfers.count(transfer) != 0; }
    std::size_t size() const { return m_calls.size(); }
    std::optional<base::time_point> next_deadline() const;

    /// Admission controller of a service, for metrics; null if no call for it has arrived yet.
    const admission::controller* control_of(const base::service_id& service) const;

private:
    gatekeeper_call* find(exchange_id exchange);
    gatekeeper_call* find(transfer_id transfer);
    gatekeeper_call* find(base::attempt_id attempt);
    gatekeeper_service& service_of(const base::service_id& service);
    std::optional<refusal_reason> refusal_at_arrival(const call_arrived& received,
                                                     const local_backend_server* server,
                                                     event_context& ctx) const;
    std::optional<refusal_reason> key_problem(const gatekeeper_call& call,
                                              event_context& ctx) const;
    void update_from_view(gatekeeper_service& service, const local_backend_server* server,
                          event_context& ctx);
    void apply_verdicts(const std::vector<admission::verdict>& verdicts, event_context& ctx);
    void apply_verdict(const admission::verdict& verdict, event_context& ctx);
    void start(gatekeeper_call& call, event_context& ctx);
    void dispatch(gatekeeper_call& call, event_context& ctx);
    void refuse_call(gatekeeper_call& call, outcome reported_outcome, refusal_reason reason,
                     std::optional<admission::call_outcome> ended, event_context& ctx);
    void end_call(gatekeeper_call& call, std::optional<admission::call_outcome> ended,
                  event_context& ctx);
    void handle_deadline(gatekeeper_call& call, event_context& ctx);
    std::optional<routing::load_report> load_of(const base::service_id& service,
                                                event_context& ctx) const;
    /// Pressure of the route of a call, for the response to it.
    std::optional<base::load_fraction> pressure_of(const base::service_id& service,
                                                   const base::route_id& route, event_context& ctx);
    /// Refuses new calls to a run of a backend server; to any run if it is not known which.
    void drain(const base::service_id& id, const base::instance_id& run, event_context& ctx);
    std::optional<base::importance> shed_level(const base::service_id& service,
                                               event_context& ctx) const;

    traffic_state& m_shared;
    std::unordered_map<exchange_id, gatekeeper_call> m_calls;
    std::unordered_map<transfer_id, exchange_id> m_transfers;
    std::unordered_map<base::attempt_id, exchange_id> m_attempts;
    std::unordered_map<base::service_id, gatekeeper_service> m_services;
    deadline_set m_deadlines;
};

} // namespace damaskladder::node
