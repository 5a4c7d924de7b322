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

/// The gatekeeper part of a traffic machine: from a forwarded call to the answer of the local
/// backend server.
class gatekeeper_machine {
public:
    /// Cancels an onward call of a call that ended.
    using cancel_onward = std::function<void(exchange_id)>;

    explicit gatekeeper_machine(traffic_state& shared);

    /// Present view and time, and the effects asked for so far.
    struct step {
        const node_view& view;
        base::time_point now;
        std::vector<effect>& out;
        const cancel_onward& cancel;
    };

    void on(const call_arrived& seen, step& at);
    void on(const claim_granted& seen, step& at);
    void on(const claim_denied& seen, step& at);
    void on(const transfer_connected& seen, step& at);
    void on(const connect_failed& seen, step& at);
    void on(const transfer_broke& seen, step& at);
    void on(const backend_refused& seen, step& at);
    void on(const answer_started& seen, step& at);
    void on(const answer_finished& seen, step& at);
    void on(const caller_gone& seen, step& at);
    void on(const drain_requested& seen, step& at);
    void on(const tick& seen, step& at);

    bool has(exchange_id exchange) const { return m_calls.count(exchange) != 0; }
    bool has(transfer_id transfer) const { return m_transfers.count(transfer) != 0; }
    std::size_t size() const { return m_calls.size(); }
    std::optional<base::time_point> next_deadline() const;

    /// Admission of a service, for metrics; null if no call has come for it.
    const admission::controller* control_of(const base::service_id& service) const;

private:
    gatekeeper_call* find(exchange_id exchange);
    gatekeeper_call* find(transfer_id transfer);
    gatekeeper_call* find(base::attempt_id attempt);
    gatekeeper_service& service_of(const base::service_id& service);
    std::optional<refusal_reason> refusal_at_arrival(const call_arrived& seen,
                                                     const local_backend_server* server,
                                                     step& at) const;
    std::optional<refusal_reason> key_problem(const gatekeeper_call& call, step& at) const;
    void sync(gatekeeper_service& service, const local_backend_server* server, step& at);
    void apply(const std::vector<admission::verdict>& verdicts, step& at);
    void apply_one(const admission::verdict& verdict, step& at);
    void start(gatekeeper_call& call, step& at);
    void hand_over(gatekeeper_call& call, step& at);
    void refuse_call(gatekeeper_call& call, outcome said, refusal_reason reason,
                     std::optional<admission::call_outcome> ended, step& at);
    void end(gatekeeper_call& call, std::optional<admission::call_outcome> ended, step& at);
    void time_is_up(gatekeeper_call& call, step& at);
    std::optional<routing::load_report> load_of(const base::service_id& service) const;
    std::optional<base::importance> shed_level(const base::service_id& service, step& at) const;

    traffic_state& m_shared;
    std::unordered_map<exchange_id, gatekeeper_call> m_calls;
    std::unordered_map<transfer_id, exchange_id> m_transfers;
    std::unordered_map<base::attempt_id, exchange_id> m_attempts;
    std::unordered_map<base::service_id, gatekeeper_service> m_services;
    deadline_set m_deadlines;
};

} // namespace damaskladder::node
