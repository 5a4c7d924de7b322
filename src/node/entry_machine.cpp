#include "node/entry_machine.hpp"

#include "node/final_or_stale.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::node {
namespace {

constexpr base::duration cleanup_interval = std::chrono::seconds(10);
/// Upper bound of the round-trip estimate. Longer measurements indicate a stalled connection
/// attempt rather than network latency.
constexpr base::duration max_round_trip = std::chrono::milliseconds(20);
/// Attempts per request of the pass-through baseline, at every level.
constexpr int pass_through_attempts = 3;
/// Maximum number of servers that the router proposes for one attempt if each of them is shedding
/// requests of this importance.
constexpr int max_choices_past_shedding = 3;
constexpr std::size_t max_request_id_size = 256;
/// Minimum Retry-After of requests that are shed at the entry node; the random part can double it.
/// Long enough that callers return after the surge. Callers wait for at most one third of their
/// remaining time, so for most of them the delay must be shorter than that.
constexpr base::duration surge_retry_after = std::chrono::milliseconds(800);
/// With settings older than this, an unknown key or path may have been added recently, so the
/// refusal reports stale settings instead. Longer than two polls for newer settings.
constexpr base::duration max_staleness_for_unknown = std::chrono::milliseconds(1500);

/// An idempotent onward call is not passed on if the node ends sooner. Most calls are answered
/// within this time.
constexpr base::duration min_serving_time = std::chrono::milliseconds(300);

/// \param has_untried whether the request can be sent to a server that has not been tried yet.
retry::failure_class class_of(outcome reported_outcome, refusal_reason reason, bool has_untried)
{
    using retry::failure_class;
    switch (reason) {
    case refusal_reason::shed:
    case refusal_reason::backend_limit:
    case refusal_reason::backend_shed:
        if (reported_outcome != outcome::not_run) {
            return failure_class::permanent;
        }
        // A gatekeeper sheds before it contacts its backend server, so the request may be sent to
        // another server without a pause.
        return reason != refusal_reason::backend_shed && has_untried
                   ? failure_class::not_run_elsewhere
                   : failure_class::not_run_shed;
    case refusal_reason::draining:
    case refusal_reason::evacuated:
    case refusal_reason::stopping:
    case refusal_reason::unreachable:
    case refusal_reason::no_backend_server:
    case refusal_reason::stale_settings:
        return reported_outcome == outcome::not_run ? failure_class::not_run_elsewhere
                                                    : failure_class::may_have_run;
    case refusal_reason::backend_failed:
    case refusal_reason::answer_lost:
        return failure_class::may_have_run;
    default:
        return failure_class::permanent;
    }
}

routing::attempt_result result_of(refusal_reason reason)
{
    using routing::attempt_result;
    switch (reason) {
    case refusal_reason::shed:
    case refusal_reason::backend_shed:
        return attempt_result::shed;
    case refusal_reason::backend_limit:
        return attempt_result::limited;
    case refusal_reason::draining:
    case refusal_reason::stopping:
    case refusal_reason::no_backend_server:
        return attempt_result::draining;
    case refusal_reason::evacuated:
        return attempt_result::evacuated;
    case refusal_reason::unreachable:
    case refusal_reason::backend_failed:
        return attempt_result::failed;
    case refusal_reason::deadline:
        return attempt_result::timed_out;
    default:
        return attempt_result::cancelled;
    }
}

routing::attempt_result result_of(response_class response)
{
    switch (response) {
    case response_class::served:
        return routing::attempt_result::answered;
    case response_class::failed:
        return routing::attempt_result::failed;
    case response_class::overloaded:
        return routing::attempt_result::shed;
    }
    return routing::attempt_result::cancelled;
}

bool admits(const route_entry& route, const base::workspace_id& workspace)
{
    return route.workspaces.empty() ||
           std::binary_search(route.workspaces.begin(), route.workspaces.end(), workspace);
}

bool is_usable(const std::optional<base::request_id>& id)
{
    return id && !id->value().empty() && id->value().size() <= max_request_id_size;
}

base::importance lower_of(base::importance limit, const std::optional<base::importance>& wish)
{
    return wish ? std::min(limit, *wish) : limit;
}

base::duration shorter_of(base::duration limit, const std::optional<base::duration>& wish)
{
    return wish ? std::min(limit, *wish) : limit;
}

retry::budget_options floor_only(const traffic_options& options)
{
    retry::budget_options budget;
    budget.retries_per_success = 0;
    budget.min_retries_per_second = options.min_retries_per_second;
    return budget;
}

retry::budget_options without_floor(const traffic_options& options)
{
    retry::budget_options budget;
    budget.retries_per_success = options.retry_ratio;
    budget.min_retries_per_second = 0;
    return budget;
}

/// Shortest Retry-After for a refusal, before the random part is added.
base::duration min_retry_after(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::rate:
    case refusal_reason::shed:
    case refusal_reason::backend_shed:
    case refusal_reason::deadline:
        return std::chrono::milliseconds(300);
    default:
        // Changes of membership and settings take about a second to propagate.
        return std::chrono::milliseconds(700);
    }
}

/// Whether the request has a key and comes from outside the call trees of the fleet.
bool is_root(const entry_request& request)
{
    return !request.open && !request.parent;
}

refuse refusal_of(exchange_id exchange, outcome reported_outcome, refusal_reason reason)
{
    refuse refusal;
    refusal.exchange = exchange;
    refusal.status = status_of(reason);
    refusal.reported_outcome = reported_outcome;
    refusal.reason = reason;
    return refusal;
}

} // namespace

entry_machine::entry_machine(traffic_state& shared)
    : m_shared(shared),
      m_order([this](exchange_id exchange) { return rule_of(exchange); }),
      m_repeats(retry::dedup_options{}),
      m_floor_budget(floor_only(shared.options)),
      m_shed_levels({}, shared.options.random)
{
    m_retry_options.random = shared.options.random;
}

void entry_machine::on(const request_arrived& received, event_context& ctx)
{
    const auto refuse_with = [&](refusal_reason reason) {
        ctx.out.emplace_back(refusal_of(received.exchange, outcome::not_run, reason));
    };
    if (static_cast<std::int64_t>(received.path.size()) > m_shared.options.max_path.value()) {
        return refuse_with(refusal_reason::bad_request);
    }
    if (!ctx.view.settings_known()) {
        return refuse_with(refusal_reason::stale_settings);
    }
    const route_entry* route = ctx.view.match_route(received.path, received.host);
    if (route == nullptr) {
        return refuse_with(unknown_or_stale(refusal_reason::no_route, ctx));
    }
    const key_entry* key =
        !route->open && received.key ? ctx.view.find_key(*received.key) : nullptr;
    if (const auto problem = key_problem(*route, key, received.key.has_value(), ctx)) {
        return refuse_with(*problem);
    }
    if (received.body_size && *received.body_size > route->max_body) {
        return refuse_with(refusal_reason::too_large);
    }
    entry_request request;
    request.exchange = received.exchange;
    request.body_can_be_resent = received.body_can_be_resent;
    apply_route(request, *route, received.constraints.non_idempotent);
    if (route->claimed && received.request && (!is_usable(received.request) || !received.content)) {
        return refuse_with(refusal_reason::bad_request);
    }
    if (route->claimed && !request.context.idempotent && !received.request) {
        return refuse_with(refusal_reason::request_id_required);
    }
    request.deadline =
        ctx.now - received.waited + shorter_of(route->timeout, received.constraints.timeout);
    if (m_shared.serving_end && request.deadline > *m_shared.serving_end) {
        return refuse_with(refusal_reason::stopping);
    }
    request.context.importance =
        lower_of(importance_of(*route, key, ctx), received.constraints.importance);
    if (key != nullptr && sheds_at_entry(request.context.importance)) {
        refuse refusal = refusal_of(received.exchange, outcome::not_run, refusal_reason::shed);
        refusal.retry_after = retry_after_delay(refusal_reason::shed, surge_retry_after);
        refusal.service = request.service;
        ctx.out.emplace_back(refusal);
        return;
    }
    if (key == nullptr) {
        m_shared.trees.call_made(route->route, ctx.now);
    }
    request.context.origin = received.origin;
    request.context.chain = base::chain_id(m_shared.options.random());
    request.context.call = random_call_id();
    request.context.request = received.request.value_or(
        base::request_id("drawn-" + std::to_string(m_shared.options.random())));
    request.context.issuer = ctx.view.self;
    if (key != nullptr) {
        request.context.workspace = key->workspace;
        request.context.key = key->key;
        if (received.request && route->claimed) {
            request.identity = retry::request_identity{key->workspace, *received.request};
        }
    }
    m_shared.ledger.open(request.context.call, route->retries);
    admit(std::move(request), received.content, received.ahead, ctx);
}

void entry_machine::on(const onward_call_arrived& received, event_context& ctx)
{
    const auto refuse_with = [&](refusal_reason reason) {
        ctx.out.emplace_back(refusal_of(received.exchange, outcome::not_run, reason));
    };
    const running_call* parent = m_shared.calls.find(received.parent.call);
    if (parent == nullptr) {
        return refuse_with(refusal_reason::parent_not_running);
    }
    if (parent->context.depth >= m_shared.options.max_depth) {
        return refuse_with(refusal_reason::too_deep);
    }
    const bool path_fits =
        static_cast<std::int64_t>(received.path.size()) <= m_shared.options.max_path.value();
    const route_entry* route = path_fits ? ctx.view.match_route(received.path, {}) : nullptr;
    if (route == nullptr) {
        return refuse_with(path_fits
                               ? final_or_stale(refusal_reason::no_route, parent->context, ctx.view)
                               : refusal_reason::bad_request);
    }
    if (received.body_size && *received.body_size > route->max_body) {
        return refuse_with(refusal_reason::too_large);
    }
    entry_request request;
    request.exchange = received.exchange;
    request.body_can_be_resent = received.body_can_be_resent;
    request.parent = received.parent.call;
    request.context = parent->context;
    apply_route(request, *route, received.constraints.non_idempotent);
    if (!route->open && !admits(*route, request.context.workspace)) {
        return refuse_with(
            final_or_stale(refusal_reason::key_not_allowed, parent->context, ctx.view));
    }
    if (!request.context.idempotent && (!is_usable(received.request) || !received.content)) {
        return refuse_with(refusal_reason::request_id_required);
    }
    if (received.request) {
        // The service name is appended because a backend server may pass on the request id of its
        // parent call unchanged; the two ids must differ.
        request.context.request =
            base::request_id(received.request->value() + "/" + route->service.value());
    }
    const auto limit = shorter_of(route->timeout, received.constraints.timeout);
    request.deadline = std::min(ctx.now - received.waited + limit,
                                parent->deadline - m_shared.options.return_margin);
    if (!fit_into_serving_time(request, ctx)) {
        return refuse_with(refusal_reason::stopping);
    }
    request.context.importance =
        lower_of(parent->context.importance, received.constraints.importance);
    request.context.depth = parent->context.depth + base::call_depth(1);
    request.context.call = random_call_id();
    request.context.issuer = ctx.view.self;
    if (const auto problem = start_problem(request, ctx)) {
        return refuse_with(*problem);
    }
    m_shared.ledger.open(request.context.call,
                         m_shared.ledger.delegate(*request.parent, request.context.call));
    m_shared.calls.onward_started(*request.parent, request.exchange, ctx.now);
    m_shared.trees.call_made(parent->context.route, route->route, ctx.now);
    admit(std::move(request), received.content, received.ahead, ctx);
}

void entry_machine::on(const token_granted& received, event_context& ctx)
{
    entry_request* request = find(received.exchange);
    if (request == nullptr || request->phase != entry_phase::waiting_for_token || request->grant) {
        ctx.out.emplace_back(return_token{received.grant});
        return;
    }
    request->grant = received.grant;
    try_forward(*request, ctx);
}

void entry_machine::on(const token_refused& received, event_context& ctx)
{
    entry_request* request = find(received.exchange);
    if (request != nullptr && request->phase == entry_phase::waiting_for_token) {
        refuse_request(*request, refusal_reason::rate, ctx, received.retry_after);
    }
}

void entry_machine::on(const turn_reached& received, event_context& ctx)
{
    for (const auto exchange : m_order.startable(received.exchange, received.behind)) {
        entry_request* request = find(exchange);
        if (request != nullptr && request->phase == entry_phase::waiting_for_turn) {
            start(*request, std::exchange(request->content, std::nullopt), ctx);
        }
    }
}

void entry_machine::on(const gatekeeper_refused& received, event_context& ctx)
{
    entry_request* request = find(received.transfer);
    if (request == nullptr || request->phase != entry_phase::forwarded) {
        return;
    }
    m_shed_levels.on_report(request->gatekeeper, received.shed, ctx.now);
    if (received.allowance_left) {
        m_shared.ledger.return_unused(request->context.call, request->attempt,
                                      *received.allowance_left);
    }
    request->may_have_run = request->may_have_run || received.reported_outcome != outcome::not_run;
    m_shared.trees.on_report(request->context.route, is_root(*request), received.pressure, ctx.now);
    const base::node_id gatekeeper = request->gatekeeper;
    const base::service_id service = request->service;
    const auto kind =
        class_of(received.reported_outcome, received.reason, has_untried(*request, ctx));
    attempt_failed(*request, kind, received.reason, result_of(received.reason), ctx);
    if (received.load) {
        router_of(service).on_load_report(gatekeeper, *received.load, ctx.now);
    }
}

void entry_machine::on(const transfer_connected& received, event_context& ctx)
{
    entry_request* request = find(received.transfer);
    if (request != nullptr && !request->sent) {
        request->sent = true;
        record_round_trip(ctx.now - request->forwarded_at);
    }
}

void entry_machine::on(const connect_failed& received, event_context& ctx)
{
    entry_request* request = find(received.transfer);
    if (request == nullptr || request->phase != entry_phase::forwarded) {
        return;
    }
    m_shared.ledger.return_unused(request->context.call, request->attempt, request->lent_allowance);
    attempt_failed(*request, retry::failure_class::not_run_elsewhere, refusal_reason::unreachable,
                   routing::attempt_result::unreachable, ctx);
}

void entry_machine::on(const transfer_failed& received, event_context& ctx)
{
    entry_request* request = find(received.transfer);
    if (request == nullptr) {
        return;
    }
    if (request->phase == entry_phase::relaying) {
        end_attempt(*request, routing::attempt_result::failed, ctx);
        ctx.out.emplace_back(abort_response{request->exchange});
        if (request->identity) {
            refuse_waiters(m_repeats.on_refused(*request->identity), refusal_reason::answer_lost,
                           ctx);
        }
        erase(request->exchange, ctx);
        return;
    }
    request->may_have_run = true;
    // A gatekeeper reports failures of its backend server in a response. A broken connection
    // therefore means that the gatekeeper itself is unreachable.
    attempt_failed(*request, retry::failure_class::may_have_run, refusal_reason::answer_lost,
                   routing::attempt_result::unreachable, ctx);
}

void entry_machine::on(const response_started& received, event_context& ctx)
{
    entry_request* request = find(received.transfer);
    if (request == nullptr || request->phase != entry_phase::forwarded) {
        return;
    }
    m_shed_levels.on_report(request->gatekeeper, received.shed, ctx.now);
    if (received.load) {
        router_of(request->service).on_load_report(request->gatekeeper, *received.load, ctx.now);
    }
    m_shared.trees.on_report(request->context.route, is_root(*request), received.pressure, ctx.now);
    request->response_result = result_of(received.response);
    if (m_shared.options.pass_through && received.response != response_class::served &&
        request->context.idempotent && request->attempts < pass_through_attempts) {
        ctx.out.emplace_back(cancel_transfer{request->transfer});
        end_attempt(*request, routing::attempt_result::failed, ctx);
        request->may_have_run = true;
        try_forward(*request, ctx);
        return;
    }
    if (received.allowance_left) {
        m_shared.ledger.return_unused(request->context.call, request->attempt,
                                      *received.allowance_left);
    }
    return_allowance(*request);
    if (received.response == response_class::served) {
        budget_of(*request).on_success(ctx.now);
    }
    request->phase = entry_phase::relaying;
    m_deadlines.set(request->exchange, ctx.now + m_shared.response_time(request->context));
    relay_response relay;
    relay.exchange = request->exchange;
    relay.transfer = request->transfer;
    relay.keep_copy = request->identity.has_value();
    ctx.out.emplace_back(relay);
}

void entry_machine::on(const response_finished& received, event_context& ctx)
{
    entry_request* request = find(received.transfer);
    if (request == nullptr || request->phase != entry_phase::relaying) {
        return;
    }
    end_attempt(*request, request->response_result, ctx);
    if (request->identity) {
        const auto waiters = m_repeats.on_answer(*request->identity, received.copy, ctx.now);
        if (m_repeats.has_answer(*request->identity)) {
            for (const auto& waiter : waiters) {
                ctx.out.emplace_back(replay_response{exchange_id(waiter.value()), received.copy});
                erase(exchange_id(waiter.value()), ctx);
            }
        }
        else {
            refuse_waiters(waiters, refusal_reason::already_answered, ctx);
        }
    }
    erase(request->exchange, ctx);
}

void entry_machine::on(const caller_disconnected& received, event_context& ctx)
{
    cancel(received.exchange, ctx);
}

void entry_machine::on(const tick& /*seen*/, event_context& ctx)
{
    while (const auto due = m_deadlines.take_due(ctx.now)) {
        if (entry_request* request = find(*due)) {
            handle_deadline(*request, ctx);
        }
    }
    m_repeats.expire(ctx.now);
    if (ctx.now >= m_next_cleanup) {
        m_next_cleanup = ctx.now + cleanup_interval;
        m_shed_levels.remove_expired(ctx.now);
        for (auto& item : m_routers) {
            item.second.remove_idle(ctx.now);
        }
    }
}

void entry_machine::cancel(exchange_id exchange, event_context& ctx)
{
    entry_request* request = find(exchange);
    if (request == nullptr) {
        return;
    }
    // A request that waits for its turn is not known to m_repeats yet.
    if (request->identity && request->phase != entry_phase::waiting_for_turn) {
        const retry::waiter_id own(exchange.value());
        if (request->phase == entry_phase::relaying) {
            refuse_waiters(m_repeats.on_refused(*request->identity), refusal_reason::answer_lost,
                           ctx);
        }
        else if (const auto next = m_repeats.on_caller_gone(*request->identity, own)) {
            promote_waiter(*request, exchange_id(next->value()), ctx);
            return;
        }
    }
    const bool in_transfer =
        request->phase == entry_phase::forwarded || request->phase == entry_phase::relaying;
    const bool ran = request->may_have_run || (in_transfer && request->sent);
    if (in_transfer) {
        ctx.out.emplace_back(cancel_transfer{request->transfer});
        end_attempt(*request, routing::attempt_result::cancelled, ctx);
    }
    if (request->grant && !ran) {
        ctx.out.emplace_back(return_token{*request->grant});
    }
    erase(exchange, ctx);
}

void entry_machine::cancel_for_parent(exchange_id exchange, event_context& ctx)
{
    const entry_request* request = find(exchange);
    if (request == nullptr) {
        return;
    }
    const bool relaying = request->phase == entry_phase::relaying;
    const bool sent = request->phase == entry_phase::forwarded && request->sent;
    const outcome reported_outcome =
        request->may_have_run || sent ? outcome::unknown : outcome::not_run;
    cancel(exchange, ctx);
    if (relaying) {
        ctx.out.emplace_back(abort_response{exchange});
    }
    else {
        ctx.out.emplace_back(refusal_of(exchange, reported_outcome, refusal_reason::caller_gone));
    }
}

entry_request* entry_machine::find(exchange_id exchange)
{
    auto found = m_requests.find(exchange);
    return found == m_requests.end() ? nullptr : &found->second;
}

entry_request* entry_machine::find(transfer_id transfer)
{
    auto found = m_transfers.find(transfer);
    return found == m_transfers.end() ? nullptr : find(found->second);
}

std::optional<refusal_reason> entry_machine::key_problem(const route_entry& route,
                                                         const key_entry* key, bool presented,
                                                         event_context& ctx) const
{
    if (route.open) {
        return std::nullopt;
    }
    if (!presented) {
        return refusal_reason::key_required;
    }
    if (is_stale(route.max_staleness, ctx)) {
        return refusal_reason::stale_settings;
    }
    if (key == nullptr) {
        return unknown_or_stale(refusal_reason::unknown_key, ctx);
    }
    if (!key->active) {
        return refusal_reason::key_withdrawn;
    }
    if (!admits(route, key->workspace)) {
        return unknown_or_stale(refusal_reason::key_not_allowed, ctx);
    }
    return std::nullopt;
}

bool entry_machine::is_stale(base::duration max_staleness, event_context& ctx)
{
    return ctx.now - ctx.view.settings_confirmed_at > max_staleness;
}

refusal_reason entry_machine::unknown_or_stale(refusal_reason unknown, event_context& ctx)
{
    return is_stale(max_staleness_for_unknown, ctx) ? refusal_reason::stale_settings : unknown;
}

base::importance entry_machine::importance_of(const route_entry& route, const key_entry* key,
                                              event_context& ctx)
{
    const bool ranked = key != nullptr && ctx.view.importance_of;
    return ranked ? ctx.view.importance_of(route.importance, key->workspace) : route.importance;
}

base::service_id entry_machine::service_for(const route_entry& route)
{
    return route.split.empty() ? route.service : m_splits[route.route].next(route.split);
}

void entry_machine::apply_route(entry_request& request, const route_entry& route,
                                bool non_idempotent)
{
    request.service = service_for(route);
    request.max_runs = route.attempts;
    request.context.claimed = route.claimed;
    request.context.streaming = route.streaming;
    request.context.route = route.route;
    request.open = route.open;
    request.max_staleness = route.max_staleness;
    request.context.idempotent = route.idempotent && !non_idempotent;
}

void entry_machine::admit(entry_request&& request, const std::optional<base::content_hash>& content,
                          const std::vector<exchange_id>& ahead, event_context& ctx)
{
    const exchange_id exchange = request.exchange;
    const auto [stored, is_new] = m_requests.try_emplace(exchange, std::move(request));
    if (!is_new) {
        return;
    }
    entry_request& kept = stored->second;
    m_deadlines.set(exchange, kept.deadline);
    const auto rule = kept.context.idempotent ? run_rule::repeatable : run_rule::once;
    if (m_order.must_wait(rule, ahead)) {
        kept.phase = entry_phase::waiting_for_turn;
        kept.content = content;
        return;
    }
    start(kept, content, ctx);
}

std::optional<run_rule> entry_machine::rule_of(exchange_id exchange) const
{
    const auto found = m_requests.find(exchange);
    if (found == m_requests.end()) {
        return std::nullopt;
    }
    return found->second.context.idempotent ? run_rule::repeatable : run_rule::once;
}

void entry_machine::start(entry_request& request, const std::optional<base::content_hash>& content,
                          event_context& ctx)
{
    if (!request.identity) {
        return forward_or_request_token(request, ctx);
    }
    const exchange_id exchange = request.exchange;
    const auto result = m_repeats.on_request(*request.identity, *content,
                                             retry::waiter_id(exchange.value()), ctx.now);
    switch (result.verdict) {
    case retry::dedup_verdict::run:
        return forward_or_request_token(request, ctx);
    case retry::dedup_verdict::joined:
        request.phase = entry_phase::joined;
        return;
    case retry::dedup_verdict::replay:
        ctx.out.emplace_back(replay_response{exchange, result.answer});
        break;
    case retry::dedup_verdict::conflict:
        ctx.out.emplace_back(refusal_of(exchange, outcome::not_run, refusal_reason::other_content));
        break;
    case retry::dedup_verdict::too_many:
        ctx.out.emplace_back(refusal_of(exchange, outcome::unknown, refusal_reason::shed));
        break;
    }
    request.identity.reset();
    erase(exchange, ctx);
}

void entry_machine::forward_or_request_token(entry_request& request, event_context& ctx)
{
    if (request.open || request.parent) {
        return try_forward(request, ctx);
    }
    // After the search for repeats, so that a repeat of a request that is running or answered is
    // not refused as not run.
    if (const auto wait = m_shared.trees.shed(request.context, ctx.now)) {
        return refuse_request(request, refusal_reason::shed, ctx, *wait);
    }
    request.phase = entry_phase::waiting_for_token;
    ctx.out.emplace_back(
        request_token{request.exchange, request.context.workspace, request.deadline});
}

void entry_machine::try_forward(entry_request& request, event_context& ctx)
{
    if (const auto problem = start_problem(request, ctx)) {
        return refuse_request(request, *problem, ctx);
    }
    const service_entry* service = ctx.view.find_service(request.service);
    if (service == nullptr) {
        return refuse_request(request, refusal_reason::no_backend_server, ctx);
    }
    bool skipped_shedding = false;
    const auto gatekeeper = m_shared.options.pass_through
                                ? choose_at_random(*service)
                                : choose(request, *service, skipped_shedding, ctx);
    if (!gatekeeper) {
        return refuse_request(
            request, skipped_shedding ? refusal_reason::shed : refusal_reason::no_backend_server,
            ctx);
    }
    forward(request, *gatekeeper, ctx);
}

bool entry_machine::fit_into_serving_time(entry_request& request, const event_context& ctx) const
{
    const auto& end = m_shared.serving_end;
    if (!end || request.deadline <= *end) {
        return true;
    }
    request.deadline = *end;
    return request.context.idempotent && *end - ctx.now >= min_serving_time;
}

std::optional<refusal_reason> entry_machine::start_problem(const entry_request& request,
                                                           event_context& ctx) const
{
    if (request.deadline - return_path_time() <= ctx.now) {
        return refusal_reason::deadline;
    }
    if (request.open) {
        return std::nullopt;
    }
    if (request.context.workspace == base::workspace_id()) {
        return refusal_reason::key_required;
    }
    if (is_stale(request.max_staleness, ctx)) {
        return refusal_reason::stale_settings;
    }
    if (!ctx.view.key_active(request.context.key)) {
        return final_or_stale(refusal_reason::key_withdrawn, request.context, ctx.view);
    }
    return std::nullopt;
}

std::optional<base::node_id> entry_machine::choose(entry_request& request,
                                                   const service_entry& service,
                                                   bool& skipped_shedding, event_context& ctx)
{
    routing::router& router = router_of(request.service);
    routing::choice_request wanted{ctx.view.own_domain, request.tried_gatekeepers,
                                   request.context.idempotent, request.context.importance};
    for (int choice = 0; choice < max_choices_past_shedding; ++choice) {
        auto chosen = router.choose(service.servers, wanted, ctx.now);
        if (!chosen) {
            break;
        }
        if (!m_shed_levels.should_refuse(*chosen, request.context.importance, ctx.now)) {
            return chosen;
        }
        router.on_attempt_ended(*chosen, request.context.importance,
                                routing::attempt_result::cancelled, ctx.now);
        wanted.excluded.push_back(*chosen);
        skipped_shedding = true;
    }
    if (!skipped_shedding && !request.tried_gatekeepers.empty()) {
        // Every gatekeeper has refused the request. After the pause between attempts any of them
        // may have regained capacity, so all are eligible again.
        request.tried_gatekeepers.clear();
        wanted.excluded.clear();
        if (auto chosen = router.choose(service.servers, wanted, ctx.now)) {
            return chosen;
        }
    }
    const auto is_limited = [&](const routing::backend_server& server) {
        return router.is_limited(server.node, wanted.importance, ctx.now);
    };
    skipped_shedding =
        skipped_shedding || std::any_of(service.servers.begin(), service.servers.end(), is_limited);
    return std::nullopt;
}

bool entry_machine::has_untried(const entry_request& request, event_context& ctx)
{
    const service_entry* service = ctx.view.find_service(request.service);
    // attempt_failed() adds the gatekeeper that has just refused to tried_gatekeepers later.
    return service != nullptr && service->servers.size() > request.tried_gatekeepers.size() + 1;
}

std::optional<base::node_id> entry_machine::choose_at_random(const service_entry& service)
{
    if (service.servers.empty()) {
        return std::nullopt;
    }
    return service.servers[m_shared.options.random() % service.servers.size()].node;
}

void entry_machine::forward(entry_request& request, const base::node_id& gatekeeper,
                            event_context& ctx)
{
    request.phase = entry_phase::forwarded;
    request.gatekeeper = gatekeeper;
    request.transfer = m_shared.next_transfer();
    request.attempt = random_call_id();
    request.forwarded_at = ctx.now;
    request.sent = false;
    ++request.attempts;
    // One extra attempt is kept back. If the connection breaks, the lent allowance is lost with the
    // response, and only the attempt kept back remains.
    request.lent_allowance = m_shared.ledger.delegate_all_but(request.context.call, request.attempt,
                                                              base::retry_count(1));
    m_transfers[request.transfer] = request.exchange;
    m_deadlines.set(request.exchange, request.deadline);

    forward_to_gatekeeper forwarded;
    forwarded.transfer = request.transfer;
    forwarded.exchange = request.exchange;
    forwarded.gatekeeper = gatekeeper;
    forwarded.service = request.service;
    forwarded.context = request.context;
    forwarded.context.call = request.attempt;
    forwarded.context.settings = ctx.view.settings_version;
    forwarded.context.allowance = request.lent_allowance;
    forwarded.context.budget = request.deadline - ctx.now - return_path_time();
    forwarded.deadline = request.deadline;
    ctx.out.emplace_back(std::move(forwarded));
}

void entry_machine::attempt_failed(entry_request& request, retry::failure_class kind,
                                   refusal_reason reason, routing::attempt_result result,
                                   event_context& ctx)
{
    m_shared.ledger.forfeit(request.context.call, request.attempt);
    request.runs += kind == retry::failure_class::may_have_run ? 1 : 0;
    request.tried_gatekeepers.push_back(request.gatekeeper);
    end_attempt(request, result, ctx);
    if (!schedule_retry(request, kind, ctx)) {
        refuse_request(request, reason, ctx);
    }
}

bool entry_machine::schedule_retry(entry_request& request, retry::failure_class kind,
                                   event_context& ctx)
{
    if (request.max_runs > base::retry_count(0) &&
        base::retry_count(request.runs) >= request.max_runs) {
        return false;
    }
    retry::failed_attempt failed;
    failed.kind = kind;
    failed.idempotent = request.context.idempotent;
    failed.body_can_be_resent = request.body_can_be_resent;
    failed.attempts = request.attempts;
    failed.time_left = request.deadline - ctx.now;
    failed.time_needed = return_path_time();
    auto pause = retry::decide_retry(failed, m_retry_options);
    if (m_shared.options.pass_through) {
        if (!pause || request.attempts >= pass_through_attempts) {
            return false;
        }
        pause = base::duration::zero();
    }
    else if (!pause || m_shared.ledger.remaining(request.context.call) < base::retry_count(1) ||
             !try_spend_retry(request, kind, ctx) || !m_shared.ledger.spend(request.context.call)) {
        return false;
    }
    if (*pause == base::duration::zero()) {
        try_forward(request, ctx);
        return true;
    }
    request.phase = entry_phase::backing_off;
    m_deadlines.set(request.exchange, ctx.now + *pause);
    return true;
}

void entry_machine::end_attempt(entry_request& request, routing::attempt_result result,
                                event_context& ctx)
{
    m_transfers.erase(request.transfer);
    router_of(request.service)
        .on_attempt_ended(request.gatekeeper, request.context.importance, result, ctx.now);
}

void entry_machine::refuse_request(entry_request& request, refusal_reason reason,
                                   event_context& ctx, std::optional<base::duration> retry_after)
{
    const outcome reported_outcome = request.may_have_run ? outcome::unknown : outcome::not_run;
    if (request.grant && reported_outcome == outcome::not_run) {
        ctx.out.emplace_back(return_token{*request.grant});
    }
    refuse refusal = refusal_of(request.exchange, reported_outcome, reason);
    if (reported_outcome == outcome::not_run) {
        refusal.retry_after = retry_after_delay(reason, retry_after);
    }
    refusal.service = request.service;
    refusal.gatekeeper = request.gatekeeper;
    refusal.attempts = request.attempts;
    ctx.out.emplace_back(refusal);
    if (request.identity) {
        for (const auto& waiter : m_repeats.on_refused(*request.identity)) {
            refusal.exchange = exchange_id(waiter.value());
            ctx.out.emplace_back(refusal);
            erase(refusal.exchange, ctx);
        }
    }
    erase(request.exchange, ctx);
}

bool entry_machine::sheds_at_entry(base::importance level) const
{
    constexpr double range = 18446744073709551616.0;
    return m_shared.options.guard_processor &&
           m_shared.processor.should_shed(level,
                                          static_cast<double>(m_shared.options.random()) / range);
}

base::duration entry_machine::retry_after_delay(refusal_reason reason,
                                                std::optional<base::duration> hint)
{
    // The random part is at most as long as the fixed part. It prevents callers that were refused
    // at the same time from retrying at the same time.
    const auto shortest = std::max(hint.value_or(base::duration::zero()), min_retry_after(reason));
    const auto spread = static_cast<std::uint64_t>(shortest.count());
    return shortest + base::duration(static_cast<std::int64_t>(m_shared.options.random() % spread));
}

void entry_machine::refuse_waiters(const std::vector<retry::waiter_id>& waiters,
                                   refusal_reason reason, event_context& ctx)
{
    for (const auto& waiter : waiters) {
        const exchange_id exchange(waiter.value());
        ctx.out.emplace_back(refusal_of(exchange, outcome::unknown, reason));
        erase(exchange, ctx);
    }
}

void entry_machine::return_allowance(const entry_request& request)
{
    const auto unused = m_shared.ledger.close(request.context.call);
    if (request.parent) {
        m_shared.ledger.return_unused(*request.parent, request.context.call, unused);
    }
}

void entry_machine::erase(exchange_id exchange, event_context& ctx)
{
    auto found = m_requests.find(exchange);
    if (found == m_requests.end()) {
        return;
    }
    return_allowance(found->second);
    if (found->second.parent) {
        m_shared.calls.onward_ended(*found->second.parent, exchange, ctx.now);
    }
    m_transfers.erase(found->second.transfer);
    m_deadlines.erase(exchange);
    m_requests.erase(found);
}

void entry_machine::promote_waiter(entry_request& from, exchange_id to, event_context& ctx)
{
    entry_request* joined = find(to);
    if (joined == nullptr) {
        return;
    }
    const exchange_id disconnected = from.exchange;
    entry_request running = std::move(from);
    running.exchange = to;
    running.body_can_be_resent = joined->body_can_be_resent;
    m_shared.ledger.close(joined->context.call);
    m_requests.erase(disconnected);
    m_deadlines.erase(disconnected);
    m_requests[to] = std::move(running);
    entry_request& request = m_requests[to];
    m_deadlines.set(to, request.deadline);
    if (request.phase == entry_phase::forwarded) {
        m_transfers[request.transfer] = to;
    }
    else {
        request.phase = entry_phase::backing_off;
        if (!request.grant) {
            forward_or_request_token(request, ctx);
        }
        else {
            try_forward(request, ctx);
        }
    }
}

void entry_machine::handle_deadline(entry_request& request, event_context& ctx)
{
    switch (request.phase) {
    case entry_phase::backing_off:
        if (ctx.now < request.deadline) {
            return try_forward(request, ctx);
        }
        break;
    case entry_phase::joined:
        m_repeats.on_caller_gone(*request.identity, retry::waiter_id(request.exchange.value()));
        request.identity.reset();
        request.may_have_run = true;
        break;
    case entry_phase::forwarded:
        ctx.out.emplace_back(cancel_transfer{request.transfer});
        request.may_have_run = request.may_have_run || request.sent;
        end_attempt(request, routing::attempt_result::timed_out, ctx);
        break;
    case entry_phase::relaying: {
        const exchange_id exchange = request.exchange;
        ctx.out.emplace_back(abort_response{exchange});
        return cancel(exchange, ctx);
    }
    case entry_phase::waiting_for_turn:
        // Not known to m_repeats yet.
        request.identity.reset();
        break;
    case entry_phase::waiting_for_token:
        break;
    }
    refuse_request(request, refusal_reason::deadline, ctx);
}

bool entry_machine::try_spend_retry(const entry_request& request, retry::failure_class kind,
                                    event_context& ctx)
{
    // A request that did not reach a backend server adds no load to one, so its retry is free.
    return kind == retry::failure_class::not_run_elsewhere ||
           budget_of(request).try_spend(ctx.now) || m_floor_budget.try_spend(ctx.now);
}

retry::budget& entry_machine::budget_of(const entry_request& request)
{
    return m_budgets
        .try_emplace({request.context.workspace, request.service}, without_floor(m_shared.options))
        .first->second;
}

routing::router& entry_machine::router_of(const base::service_id& service)
{
    auto found = m_routers.find(service);
    if (found == m_routers.end()) {
        routing::router_options options;
        options.random = m_shared.options.random;
        options.placement = m_shared.options.placement;
        found = m_routers.try_emplace(service, std::move(options)).first;
    }
    return found->second;
}

std::vector<leaving_service> entry_machine::leaving_services() const
{
    std::vector<leaving_service> services;
    for (const auto& [service, router] : m_routers) {
        const auto& spill = router.spill();
        services.push_back(
            {service, spill.leaving(), spill.own_slowdown(), spill.others_slowdown()});
    }
    return services;
}

base::duration entry_machine::return_path_time() const
{
    return m_shared.options.return_margin + m_round_trip;
}

base::call_id entry_machine::random_call_id()
{
    return base::call_id(m_shared.options.random());
}

void entry_machine::record_round_trip(base::duration measured)
{
    // Reused connections report a connect time near zero, so an average would underestimate the
    // round trip. A decaying maximum does not.
    constexpr int decay_divisor = 64;
    const auto decayed = m_round_trip - m_round_trip / decay_divisor;
    m_round_trip = std::min(max_round_trip, std::max(decayed, measured));
}

} // namespace damaskladder::node
