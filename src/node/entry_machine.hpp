#pragma once

#include "admission/entry_throttle.hpp"
#include "node/deadline_set.hpp"
#include "node/effect.hpp"
#include "node/entry_request.hpp"
#include "node/event.hpp"
#include "node/leaving_service.hpp"
#include "node/node_view.hpp"
#include "node/pipeline_order.hpp"
#include "node/traffic_state.hpp"
#include "retry/budget.hpp"
#include "retry/decide_retry.hpp"
#include "retry/dedup_table.hpp"
#include "retry/failure_class.hpp"
#include "routing/router.hpp"
#include "routing/weighted_round_robin.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace damaskladder::node {

/// The entry half of a traffic machine. Admits requests of callers and onward calls of backend
/// servers, forwards them to gatekeepers, retries failed attempts and relays the responses.
class entry_machine {
public:
    explicit entry_machine(traffic_state& shared);

    /// Current view and time, and the list to which effects are appended.
    struct event_context {
        const node_view& view;
        base::time_point now;
        std::vector<effect>& out;
    };

    void on(const request_arrived& received, event_context& ctx);
    void on(const onward_call_arrived& received, event_context& ctx);
    void on(const token_granted& received, event_context& ctx);
    void on(const token_refused& received, event_context& ctx);
    void on(const turn_reached& received, event_context& ctx);
    void on(const gatekeeper_refused& received, event_context& ctx);
    void on(const transfer_connected& received, event_context& ctx);
    void on(const connect_failed& received, event_context& ctx);
    void on(const transfer_failed& received, event_context& ctx);
    void on(const response_started& received, event_context& ctx);
    void on(const response_finished& received, event_context& ctx);
    void on(const caller_disconnected& received, event_context& ctx);
    void on(const tick& received, event_context& ctx);

    /// Cancels an onward call whose parent call ended without a response, and refuses it with
    /// refusal_reason::caller_gone, or aborts its response if that has started.
    void cancel_for_parent(exchange_id exchange, event_context& ctx);

    bool has(exchange_id exchange) const { return m_requests.count(exchange) != 0; }
    bool has(transfer_id transfer) const { return m_transfers.count(transfer) != 0; }
    std::size_t size() const { return m_requests.size(); }
    std::vector<leaving_service> leaving_services() const;
    std::optional<base::time_point> next_deadline() const { return m_deadlines.earliest(); }

private:
    void cancel(exchange_id exchange, event_context& ctx);
    entry_request* find(exchange_id exchange);
    entry_request* find(transfer_id transfer);
    std::optional<refusal_reason> key_problem(const route_entry& route, const key_entry* key,
                                              bool presented, event_context& ctx) const;
    static bool is_stale(base::duration max_staleness, event_context& ctx);
    void apply_route(entry_request& request, const route_entry& route, bool non_idempotent);
    base::service_id service_for(const route_entry& route);
    /// Returns `unknown`, or stale_settings if the settings may be too old to contain a recently
    /// added key or route.
    static refusal_reason unknown_or_stale(refusal_reason unknown, event_context& ctx);
    static base::importance importance_of(const route_entry& route, const key_entry* key,
                                          event_context& ctx);
    /// Starts the request, or holds it back while requests `ahead` on its connection forbid it.
    void admit(entry_request&& request, const std::optional<base::content_hash>& content,
               const std::vector<exchange_id>& ahead, event_context& ctx);
    void start(entry_request& request, const std::optional<base::content_hash>& content,
               event_context& ctx);
    std::optional<run_rule> rule_of(exchange_id exchange) const;
    void forward_or_request_token(entry_request& request, event_context& ctx);
    void try_forward(entry_request& request, event_context& ctx);
    /// After stop_scheduled, shortens the deadline of an onward call to the time at which the node
    /// ends. Returns false if the call has to be refused.
    bool fit_into_serving_time(entry_request& request, const event_context& ctx) const;
    std::optional<refusal_reason> start_problem(const entry_request& request,
                                                event_context& ctx) const;
    std::optional<base::node_id> choose(entry_request& request, const service_entry& service,
                                        bool& skipped_shedding, event_context& ctx);
    /// Whether a server is left besides the one that has just refused and those tried before.
    static bool has_untried(const entry_request& request, event_context& ctx);
    std::optional<base::node_id> choose_at_random(const service_entry& service);
    void forward(entry_request& request, const base::node_id& gatekeeper, event_context& ctx);
    void attempt_failed(entry_request& request, retry::failure_class kind, refusal_reason reason,
                        routing::attempt_result result, event_context& ctx);
    bool schedule_retry(entry_request& request, retry::failure_class kind, event_context& ctx);
    void end_attempt(entry_request& request, routing::attempt_result result, event_context& ctx);
    void refuse_request(entry_request& request, refusal_reason reason, event_context& ctx,
                        std::optional<base::duration> retry_after = std::nullopt);
    void refuse_waiters(const std::vector<retry::waiter_id>& waiters, refusal_reason reason,
                        event_context& ctx);
    void return_allowance(const entry_request& request);
    void erase(exchange_id exchange, event_context& ctx);
    void promote_waiter(entry_request& from, exchange_id to, event_context& ctx);
    void handle_deadline(entry_request& request, event_context& ctx);
    bool try_spend_retry(const entry_request& request, retry::failure_class kind,
                         event_context& ctx);
    retry::budget& budget_of(const entry_request& request);
    bool sheds_at_entry(base::importance level) const;
    /// Retry-After of a refusal: at least the hint, plus a random part.
    base::duration retry_after_delay(refusal_reason reason, std::optional<base::duration> hint);
    routing::router& router_of(const base::service_id& service);
    base::duration return_path_time() const;
    base::call_id random_call_id();
    void record_round_trip(base::duration measured);

    traffic_state& m_shared;
    std::unordered_map<exchange_id, entry_request> m_requests;
    std::unordered_map<transfer_id, exchange_id> m_transfers;
    deadline_set m_deadlines;
    pipeline_order m_order;
    retry::dedup_table m_repeats;
    /// A minimum rate of retries shared by all workspaces, and a budget per workspace and service
    /// that grows with its successes. A workspace with many refusals uses up its own budget and
    /// not those of others.
    retry::budget m_floor_budget;
    std::map<std::pair<base::workspace_id, base::service_id>, retry::budget> m_budgets;
    retry::retry_options m_retry_options;
    admission::entry_throttle m_shed_levels;
    std::unordered_map<base::service_id, routing::router> m_routers;
    std::unordered_map<base::route_id, routing::weighted_round_robin> m_splits;
    /// Decaying maximum of recent connect times, as an estimate of the round trip.
    base::duration m_round_trip{};
    base::time_point m_next_cleanup;
};

} // namespace damaskladder::node
