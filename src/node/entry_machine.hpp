#pragma once

#include "admission/entry_throttle.hpp"
#include "node/deadline_set.hpp"
#include "node/effect.hpp"
#include "node/entry_request.hpp"
#include "node/event.hpp"
#include "node/node_view.hpp"
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

/// The entry part of a traffic machine: from a caller's request, or a backend server's onward
/// call, to the answer of a gatekeeper.
class entry_machine {
public:
    explicit entry_machine(traffic_state& shared);

    /// Present view and time, and the effects asked for so far.
    struct step {
        const node_view& view;
        base::time_point now;
        std::vector<effect>& out;
    };

    void on(const request_arrived& seen, step& at);
    void on(const onward_call_arrived& seen, step& at);
    void on(const tokens_granted& seen, step& at);
    void on(const tokens_refused& seen, step& at);
    void on(const gatekeeper_refused& seen, step& at);
    void on(const transfer_connected& seen, step& at);
    void on(const connect_failed& seen, step& at);
    void on(const transfer_broke& seen, step& at);
    void on(const answer_started& seen, step& at);
    void on(const answer_finished& seen, step& at);
    void on(const caller_gone& seen, step& at);
    void on(const tick& seen, step& at);

    /// The call that an onward call serves ended without an answer. The onward call is cancelled
    /// and its backend server, which lost its own caller, gets a refusal.
    void cancel_for_parent(exchange_id exchange, step& at);

    bool has(exchange_id exchange) const { return m_requests.count(exchange) != 0; }
    bool has(transfer_id transfer) const { return m_transfers.count(transfer) != 0; }
    std::size_t size() const { return m_requests.size(); }
    std::optional<base::time_point> next_deadline() const { return m_deadlines.earliest(); }

private:
    void cancel(exchange_id exchange, step& at);
    entry_request* find(exchange_id exchange);
    entry_request* find(transfer_id transfer);
    std::optional<refusal_reason> key_problem(const route_entry& route, const key_entry* key,
                                              bool presented, step& at) const;
    static bool is_stale(base::duration max_staleness, step& at);
    void apply_route(entry_request& request, const route_entry& route, bool non_idempotent);
    base::service_id service_for(const route_entry& route);
    /// The refusal for something that the settings do not know, unless they may be out of date.
    static refusal_reason unless_stale(refusal_reason unknown, step& at);
    static base::importance importance_of(const route_entry& route, const key_entry* key, step& at);
    void admit(entry_request&& request, const std::optional<base::content_hash>& content, step& at);
    void forward_or_ask(entry_request& request, step& at);
    void try_forward(entry_request& request, step& at);
    std::optional<refusal_reason> must_not_start(const entry_request& request, step& at) const;
    std::optional<base::node_id> choose(entry_request& request, const service_entry& service,
                                        bool& held_back, step& at);
    /// Whether a server is left beside the one that has just refused and those tried before.
    static bool has_untried(const entry_request& request, step& at);
    std::optional<base::node_id> choose_at_random(const service_entry& service);
    void forward(entry_request& request, const base::node_id& gatekeeper, step& at);
    void attempt_failed(entry_request& request, retry::failure_class kind, refusal_reason reason,
                        routing::attempt_result result, step& at);
    bool retry_later(entry_request& request, retry::failure_class kind, step& at);
    void end_attempt(entry_request& request, routing::attempt_result result, step& at);
    void refuse_request(entry_request& request, refusal_reason reason, step& at,
                        std::optional<base::duration> retry_after = std::nullopt);
    void release_waiters(const std::vector<retry::waiter_id>& waiters, refusal_reason reason,
                         step& at);
    void settle_allowance(const entry_request& request);
    void erase(exchange_id exchange, step& at);
    void hand_over(entry_request& from, exchange_id to, step& at);
    void time_is_up(entry_request& request, step& at);
    bool may_spend(const entry_request& request, retry::failure_class kind, step& at);
    retry::budget& budget_of(const entry_request& request);
    bool sheds_at_entry(base::importance level) const;
    /// When a caller that was refused may return: not before the hint, and spread.
    base::duration return_pause(refusal_reason reason, std::optional<base::duration> hint);
    routing::router& router_of(const base::service_id& service);
    base::duration return_time() const;
    base::call_id draw_call();
    void count_round_trip(base::duration measured);

    traffic_state& m_shared;
    std::unordered_map<exchange_id, entry_request> m_requests;
    std::unordered_map<transfer_id, exchange_id> m_transfers;
    deadline_set m_deadlines;
    retry::dedup_table m_repeats;
    /// The floor of all workspaces together, and what each earns by its own successes: a large
    /// sender that is refused a lot uses up its own retries only.
    retry::budget m_floor_budget;
    std::map<std::pair<base::workspace_id, base::service_id>, retry::budget> m_budgets;
    retry::retry_options m_retry_options;
    admission::entry_throttle m_shed;
    std::unordered_map<base::service_id, routing::router> m_routers;
    std::unordered_map<base::route_id, routing::weighted_round_robin> m_splits;
    /// Longest time of late to make a connection, as the measure of a round trip.
    base::duration m_round_trip{};
    base::time_point m_next_cleaning;
};

} // namespace damaskladder::node
