#include "node/entry_machine.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::node {
namespace {

constexpr base::duration cleaning_interval = std::chrono::seconds(10);
/// A round trip measured longer than this was a stalled connection, not the way.
constexpr base::duration longest_round_trip = std::chrono::milliseconds(20);
/// Attempts of the pass-through baseline.
constexpr int pass_through_attempts = 3;
/// Choices of another server after one that sheds the request's importance.
constexpr int choices_past_shedding = 3;
constexpr std::size_t longest_request_id = 256;
/// A caller that is sent away in a surge returns after it, and within the third of its time that
/// most callers wait at most.
constexpr base::duration surge_time = std::chrono::milliseconds(800);
/// With settings older than this, an unknown key or path may be one that was just added. Longer
/// than two polls for newer settings.
constexpr base::duration longest_doubt = std::chrono::milliseconds(1500);

/// `has_untried`: a server is left to which the request was not sent yet.
retry::failure_class class_of(outcome said, refusal_reason reason, bool has_untried)
{
    using retry::failure_class;
    switch (reason) {
    case refusal_reason::shed:
    case refusal_reason::backend_shed:
        if (said != outcome::not_run) {
            return failure_class::permanent;
        }
        // When a gatekeeper sheds, its backend server has seen nothing of the request, so another
        // one may take it at once.
        return reason == refusal_reason::shed && has_untried ? failure_class::not_run_elsewhere
                                                             : failure_class::not_run_shed;
    case refusal_reason::draining:
    case refusal_reason::stopping:
    case refusal_reason::unreachable:
    case refusal_reason::no_backend_server:
    case refusal_reason::stale_settings:
        return said == outcome::not_run ? failure_class::not_run_elsewhere
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
    case refusal_reason::draining:
    case refusal_reason::stopping:
    case refusal_reason::no_backend_server:
        return attempt_result::draining;
    case refusal_reason::unreachable:
    case refusal_reason::backend_failed:
        return attempt_result::failed;
    case refusal_reason::deadline:
        return attempt_result::timed_out;
    default:
        return attempt_result::cancelled;
    }
}

routing::attempt_result result_of(answer_class answer)
{
    switch (answer) {
    case answer_class::served:
        return routing::attempt_result::answered;
    case answer_class::failed:
        return routing::attempt_result::failed;
    case answer_class::overloaded:
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
    return id && !id->value().empty() && id->value().size() <= longest_request_id;
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
    budget.min_retries_per_second = options.retry_floor;
    return budget;
}

retry::budget_options without_floor(const traffic_options& options)
{
    retry::budget_options budget;
    budget.retries_per_success = options.retry_part;
    budget.min_retries_per_second = 0;
    return budget;
}

/// Pause after which a refused caller may find what it lacked, before the random part.
base::duration shortest_return(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::rate:
    case refusal_reason::shed:
    case refusal_reason::backend_shed:
    case refusal_reason::deadline:
        return std::chrono::milliseconds(300);
    default:
        // Membership and settings need about a second to see a change.
        return std::chrono::milliseconds(700);
    }
}

refuse refusal_of(exchange_id exchange, outcome said, refusal_reason reason)
{
    refuse refusal;
    refusal.exchange = exchange;
    refusal.status = status_of(reason);
    refusal.said = said;
    refusal.reason = reason;
    return refusal;
}

} // namespace

entry_machine::entry_machine(traffic_state& shared)
    : m_shared(shared),
      m_repeats(retry::dedup_options{}),
      m_floor_budget(floor_only(shared.options)),
      m_shed({}, shared.options.random)
{
    m_retry_options.random = shared.options.random;
}

void entry_machine::on(const request_arrived& seen, step& at)
{
    const auto refuse_with = [&](refusal_reason reason) {
        at.out.emplace_back(refusal_of(seen.exchange, outcome::not_run, reason));
    };
    if (static_cast<std::int64_t>(seen.path.size()) > m_shared.options.max_path.value()) {
        return refuse_with(refusal_reason::bad_request);
    }
    if (!at.view.settings_known) {
        return refuse_with(refusal_reason::stale_settings);
    }
    const route_entry* route = at.view.match_route(seen.path, seen.host);
    if (route == nullptr) {
        return refuse_with(unless_stale(refusal_reason::no_route, at));
    }
    const key_entry* key = !route->open && seen.key ? at.view.find_key(*seen.key) : nullptr;
    if (const auto problem = key_problem(*route, key, seen.key.has_value(), at)) {
        return refuse_with(*problem);
    }
    if (seen.body_size && *seen.body_size > route->max_body) {
        return refuse_with(refusal_reason::too_large);
    }
    entry_request request;
    request.exchange = seen.exchange;
    request.body_can_be_resent = seen.body_can_be_resent;
    apply_route(request, *route, seen.wishes.non_idempotent);
    if (route->claimed && seen.request && (!is_usable(seen.request) || !seen.content)) {
        return refuse_with(refusal_reason::bad_request);
    }
    if (route->claimed && !request.context.idempotent && !seen.request) {
        return refuse_with(refusal_reason::request_id_required);
    }
    request.deadline = at.now + shorter_of(route->timeout, seen.wishes.timeout);
    request.context.importance = lower_of(importance_of(*route, key, at), seen.wishes.importance);
    if (key != nullptr && sheds_at_entry(request.context.importance)) {
        refuse refusal = refusal_of(seen.exchange, outcome::not_run, refusal_reason::shed);
        refusal.retry_after = return_pause(refusal_reason::shed, surge_time);
        refusal.service = request.service;
        at.out.emplace_back(refusal);
        return;
    }
    request.context.origin = seen.origin;
    request.context.chain = base::chain_id(m_shared.options.random());
    request.context.call = draw_call();
    request.context.request = seen.request.value_or(
        base::request_id("drawn-" + std::to_string(m_shared.options.random())));
    request.context.issuer = at.view.self;
    if (key != nullptr) {
        request.context.workspace = key->workspace;
        request.context.key = key->key;
        if (seen.request && route->claimed) {
            request.identity = retry::request_identity{key->workspace, *seen.request};
        }
    }
    m_shared.ledger.open(request.context.call, route->retries);
    admit(std::move(request), seen.content, at);
}

void entry_machine::on(const onward_call_arrived& seen, step& at)
{
    const auto refuse_with = [&](refusal_reason reason) {
        at.out.emplace_back(refusal_of(seen.exchange, outcome::not_run, reason));
    };
    const running_call* parent = m_shared.calls.find(seen.parent.call);
    if (parent == nullptr) {
        return refuse_with(refusal_reason::parent_not_running);
    }
    if (parent->context.depth >= m_shared.options.max_depth) {
        return refuse_with(refusal_reason::too_deep);
    }
    const bool path_fits =
        static_cast<std::int64_t>(seen.path.size()) <= m_shared.options.max_path.value();
    const route_entry* route = path_fits ? at.view.match_route(seen.path, {}) : nullptr;
    if (route == nullptr) {
        return refuse_with(path_fits ? refusal_reason::no_route : refusal_reason::bad_request);
    }
    if (seen.body_size && *seen.body_size > route->max_body) {
        return refuse_with(refusal_reason::too_large);
    }
    entry_request request;
    request.exchange = seen.exchange;
    request.body_can_be_resent = seen.body_can_be_resent;
    request.parent = seen.parent.call;
    request.context = parent->context;
    apply_route(request, *route, seen.wishes.non_idempotent);
    if (!route->open && !admits(*route, request.context.workspace)) {
        return refuse_with(refusal_reason::key_not_allowed);
    }
    if (!request.context.idempotent && (!is_usable(seen.request) || !seen.content)) {
        return refuse_with(refusal_reason::request_id_required);
    }
    if (seen.request) {
        // The service keeps the id apart from that of the parent call, which a backend server may
        // pass on unchanged.
        request.context.request =
            base::request_id(seen.request->value() + "/" + route->service.value());
    }
    const auto limit = shorter_of(route->timeout, seen.wishes.timeout);
    request.deadline = std::min(at.now + limit, parent->deadline - m_shared.options.return_margin);
    request.context.importance = lower_of(parent->context.importance, seen.wishes.importance);
    request.context.depth = parent->context.depth + base::call_depth(1);
    request.context.call = draw_call();
    request.context.issuer = at.view.self;
    if (const auto problem = must_not_start(request, at)) {
        return refuse_with(*problem);
    }
    m_shared.ledger.open(request.context.call,
                         m_shared.ledger.delegate(*request.parent, request.context.call));
    m_shared.calls.onward_started(*request.parent, request.exchange, at.now);
    admit(std::move(request), seen.content, at);
}

void entry_machine::on(const tokens_granted& seen, step& at)
{
    entry_request* request = find(seen.exchange);
    if (request == nullptr || request->phase != entry_phase::waits_for_tokens || request->grant) {
        at.out.emplace_back(give_token_back{seen.grant});
        return;
    }
    request->grant = seen.grant;
    try_forward(*request, at);
}

void entry_machine::on(const tokens_refused& seen, step& at)
{
    entry_request* request = find(seen.exchange);
    if (request != nullptr && request->phase == entry_phase::waits_for_tokens) {
        refuse_request(*request, refusal_reason::rate, at, seen.retry_after);
    }
}

void entry_machine::on(const gatekeeper_refused& seen, step& at)
{
    entry_request* request = find(seen.transfer);
    if (request == nullptr || request->phase != entry_phase::forwarded) {
        return;
    }
    m_shed.on_report(request->gatekeeper, seen.shed, at.now);
    if (seen.allowance_left) {
        m_shared.ledger.return_unused(request->context.call, request->attempt,
                                      *seen.allowance_left);
    }
    request->may_have_run = request->may_have_run || seen.said != outcome::not_run;
    const base::node_id gatekeeper = request->gatekeeper;
    const base::service_id service = request->service;
    const auto kind = class_of(seen.said, seen.reason, has_untried(*request, at));
    attempt_failed(*request, kind, seen.reason, result_of(seen.reason), at);
    if (seen.load) {
        router_of(service).on_load_report(gatekeeper, *seen.load, at.now);
    }
}

void entry_machine::on(const transfer_connected& seen, step& at)
{
    entry_request* request = find(seen.transfer);
    if (request != nullptr && !request->sent) {
        request->sent = true;
        count_round_trip(at.now - request->forwarded_at);
    }
}

void entry_machine::on(const connect_failed& seen, step& at)
{
    entry_request* request = find(seen.transfer);
    if (request == nullptr || request->phase != entry_phase::forwarded) {
        return;
    }
    m_shared.ledger.return_unused(request->context.call, request->attempt, request->lent);
    attempt_failed(*request, retry::failure_class::not_run_elsewhere, refusal_reason::unreachable,
                   routing::attempt_result::unreachable, at);
}

void entry_machine::on(const transfer_broke& seen, step& at)
{
    entry_request* request = find(seen.transfer);
    if (request == nullptr) {
        return;
    }
    if (request->phase == entry_phase::relaying) {
        end_attempt(*request, routing::attempt_result::failed, at);
        at.out.emplace_back(cut_answer{request->exchange});
        if (request->identity) {
            release_waiters(m_repeats.on_refused(*request->identity), refusal_reason::answer_lost,
                            at);
        }
        erase(request->exchange, at);
        return;
    }
    request->may_have_run = true;
    // The gatekeeper answers even for a backend server that fails, so it is the one that is gone.
    attempt_failed(*request, retry::failure_class::may_have_run, refusal_reason::answer_lost,
                   routing::attempt_result::unreachable, at);
}

void entry_machine::on(const answer_started& seen, step& at)
{
    entry_request* request = find(seen.transfer);
    if (request == nullptr || request->phase != entry_phase::forwarded) {
        return;
    }
    m_shed.on_report(request->gatekeeper, seen.shed, at.now);
    if (seen.load) {
        router_of(request->service).on_load_report(request->gatekeeper, *seen.load, at.now);
    }
    request->answer_result = result_of(seen.answer);
    if (m_shared.options.pass_through && seen.answer != answer_class::served &&
        request->context.idempotent && request->attempts < pass_through_attempts) {
        at.out.emplace_back(cancel_transfer{request->transfer});
        end_attempt(*request, routing::attempt_result::failed, at);
        request->may_have_run = true;
        try_forward(*request, at);
        return;
    }
    if (seen.allowance_left) {
        m_shared.ledger.return_unused(request->context.call, request->attempt,
                                      *seen.allowance_left);
    }
    settle_allowance(*request);
    if (seen.answer == answer_class::served) {
        budget_of(*request).on_success(at.now);
    }
    request->phase = entry_phase::relaying;
    m_deadlines.set(request->exchange, at.now + m_shared.options.longest_answer);
    relay_answer relay;
    relay.exchange = request->exchange;
    relay.transfer = request->transfer;
    relay.keep_copy = request->identity.has_value();
    at.out.emplace_back(relay);
}

void entry_machine::on(const answer_finished& seen, step& at)
{
    entry_request* request = find(seen.transfer);
    if (request == nullptr || request->phase != entry_phase::relaying) {
        return;
    }
    end_attempt(*request, request->answer_result, at);
    if (request->identity) {
        const auto waiters = m_repeats.on_answer(*request->identity, seen.copy, at.now);
        if (m_repeats.has_answer(*request->identity)) {
            for (const auto& waiter : waiters) {
                at.out.emplace_back(replay_answer{exchange_id(waiter.value()), seen.copy});
                erase(exchange_id(waiter.value()), at);
            }
        }
        else {
            release_waiters(waiters, refusal_reason::already_answered, at);
        }
    }
    erase(request->exchange, at);
}

void entry_machine::on(const caller_gone& seen, step& at)
{
    cancel(seen.exchange, at);
}

void entry_machine::on(const tick& /*seen*/, step& at)
{
    while (const auto due = m_deadlines.take_due(at.now)) {
        if (entry_request* request = find(*due)) {
            time_is_up(*request, at);
        }
    }
    m_repeats.expire(at.now);
    if (at.now >= m_next_cleaning) {
        m_next_cleaning = at.now + cleaning_interval;
        m_shed.remove_expired(at.now);
        for (auto& item : m_routers) {
            item.second.remove_idle(at.now);
        }
    }
}

void entry_machine::cancel(exchange_id exchange, step& at)
{
    entry_request* request = find(exchange);
    if (request == nullptr) {
        return;
    }
    if (request->identity) {
        const retry::waiter_id own(exchange.value());
        if (request->phase == entry_phase::relaying) {
            release_waiters(m_repeats.on_refused(*request->identity), refusal_reason::answer_lost,
                            at);
        }
        else if (const auto next = m_repeats.on_caller_gone(*request->identity, own)) {
            hand_over(*request, exchange_id(next->value()), at);
            return;
        }
    }
    const bool in_transfer =
        request->phase == entry_phase::forwarded || request->phase == entry_phase::relaying;
    const bool ran = request->may_have_run || (in_transfer && request->sent);
    if (in_transfer) {
        at.out.emplace_back(cancel_transfer{request->transfer});
        end_attempt(*request, routing::attempt_result::cancelled, at);
    }
    if (request->grant && !ran) {
        at.out.emplace_back(give_token_back{*request->grant});
    }
    erase(exchange, at);
}

void entry_machine::cancel_for_parent(exchange_id exchange, step& at)
{
    const entry_request* request = find(exchange);
    if (request == nullptr) {
        return;
    }
    const bool relaying = request->phase == entry_phase::relaying;
    const bool sent = request->phase == entry_phase::forwarded && request->sent;
    const outcome said = request->may_have_run || sent ? outcome::unknown : outcome::not_run;
    cancel(exchange, at);
    if (relaying) {
        at.out.emplace_back(cut_answer{exchange});
    }
    else {
        at.out.emplace_back(refusal_of(exchange, said, refusal_reason::caller_gone));
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
                                                         step& at) const
{
    if (route.open) {
        return std::nullopt;
    }
    if (!presented) {
        return refusal_reason::key_required;
    }
    if (is_stale(route.max_staleness, at)) {
        return refusal_reason::stale_settings;
    }
    if (key == nullptr) {
        return unless_stale(refusal_reason::unknown_key, at);
    }
    if (!key->active) {
        return refusal_reason::key_withdrawn;
    }
    if (!admits(route, key->workspace)) {
        return refusal_reason::key_not_allowed;
    }
    return std::nullopt;
}

bool entry_machine::is_stale(base::duration max_staleness, step& at)
{
    return at.now - at.view.settings_confirmed_at > max_staleness;
}

refusal_reason entry_machine::unless_stale(refusal_reason unknown, step& at)
{
    return is_stale(longest_doubt, at) ? refusal_reason::stale_settings : unknown;
}

base::importance entry_machine::importance_of(const route_entry& route, const key_entry* key,
                                              step& at)
{
    const bool ranked = key != nullptr && at.view.importance_of;
    return ranked ? at.view.importance_of(route.importance, key->workspace) : route.importance;
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
    request.open = route.open;
    request.max_staleness = route.max_staleness;
    request.context.idempotent = route.idempotent && !non_idempotent;
}

void entry_machine::admit(entry_request&& request, const std::optional<base::content_hash>& content,
                          step& at)
{
    const exchange_id exchange = request.exchange;
    const auto [stored, is_new] = m_requests.try_emplace(exchange, std::move(request));
    if (!is_new) {
        return;
    }
    entry_request& kept = stored->second;
    m_deadlines.set(exchange, kept.deadline);
    if (!kept.identity) {
        return forward_or_ask(kept, at);
    }
    const auto result =
        m_repeats.on_request(*kept.identity, *content, retry::waiter_id(exchange.value()), at.now);
    switch (result.verdict) {
    case retry::dedup_verdict::run:
        return forward_or_ask(kept, at);
    case retry::dedup_verdict::joined:
        kept.phase = entry_phase::joined;
        return;
    case retry::dedup_verdict::replay:
        at.out.emplace_back(replay_answer{exchange, result.answer});
        break;
    case retry::dedup_verdict::conflict:
        at.out.emplace_back(refusal_of(exchange, outcome::not_run, refusal_reason::other_content));
        break;
    case retry::dedup_verdict::too_many:
        at.out.emplace_back(refusal_of(exchange, outcome::unknown, refusal_reason::shed));
        break;
    }
    kept.identity.reset();
    erase(exchange, at);
}

void entry_machine::forward_or_ask(entry_request& request, step& at)
{
    if (request.open || request.parent) {
        return try_forward(request, at);
    }
    request.phase = entry_phase::waits_for_tokens;
    at.out.emplace_back(ask_tokens{request.exchange, request.context.workspace, request.deadline});
}

void entry_machine::try_forward(entry_request& request, step& at)
{
    if (const auto problem = must_not_start(request, at)) {
        return refuse_request(request, *problem, at);
    }
    const service_entry* service = at.view.find_service(request.service);
    if (service == nullptr) {
        return refuse_request(request, refusal_reason::no_backend_server, at);
    }
    bool held_back = false;
    const auto gatekeeper = m_shared.options.pass_through
                                ? choose_at_random(*service)
                                : choose(request, *service, held_back, at);
    if (!gatekeeper) {
        return refuse_request(
            request, held_back ? refusal_reason::shed : refusal_reason::no_backend_server, at);
    }
    forward(request, *gatekeeper, at);
}

std::optional<refusal_reason> entry_machine::must_not_start(const entry_request& request,
                                                            step& at) const
{
    if (request.deadline - return_time() <= at.now) {
        return refusal_reason::deadline;
    }
    if (request.open) {
        return std::nullopt;
    }
    if (request.context.workspace == base::workspace_id()) {
        return refusal_reason::key_required;
    }
    if (is_stale(request.max_staleness, at)) {
        return refusal_reason::stale_settings;
    }
    if (!at.view.key_active(request.context.key)) {
        return refusal_reason::key_withdrawn;
    }
    return std::nullopt;
}

std::optional<base::node_id> entry_machine::choose(entry_request& request,
                                                   const service_entry& service, bool& held_back,
                                                   step& at)
{
    routing::router& router = router_of(request.service);
    routing::choice_request wanted{at.view.own_domain, request.tried, request.context.idempotent,
                                   request.context.importance};
    for (int choice = 0; choice < choices_past_shedding; ++choice) {
        auto chosen = router.choose(service.servers, wanted, at.now);
        if (!chosen) {
            break;
        }
        if (!m_shed.should_refuse(*chosen, request.context.importance, at.now)) {
            return chosen;
        }
        router.on_attempt_ended(*chosen, request.context.importance,
                                routing::attempt_result::cancelled, at.now);
        wanted.excluded.push_back(*chosen);
        held_back = true;
    }
    if (!held_back && !request.tried.empty()) {
        // All have refused; after the pause any of them may have room again.
        request.tried.clear();
        return router.choose(service.servers,
                             {at.view.own_domain, {}, wanted.may_probe, wanted.importance}, at.now);
    }
    return std::nullopt;
}

bool entry_machine::has_untried(const entry_request& request, step& at)
{
    const service_entry* service = at.view.find_service(request.service);
    // The gatekeeper that has just refused is not among the tried ones yet.
    return service != nullptr && service->servers.size() > request.tried.size() + 1;
}

std::optional<base::node_id> entry_machine::choose_at_random(const service_entry& service)
{
    if (service.servers.empty()) {
        return std::nullopt;
    }
    return service.servers[m_shared.options.random() % service.servers.size()].node;
}

void entry_machine::forward(entry_request& request, const base::node_id& gatekeeper, step& at)
{
    request.phase = entry_phase::forwarded;
    request.gatekeeper = gatekeeper;
    request.transfer = m_shared.next_transfer();
    request.attempt = draw_call();
    request.forwarded_at = at.now;
    request.sent = false;
    ++request.attempts;
    // One extra attempt stays here: it is the only one left if the answer, and with it what was
    // lent, is lost.
    request.lent = m_shared.ledger.delegate_all_but(request.context.call, request.attempt,
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
    forwarded.context.allowance = request.lent;
    forwarded.context.budget = request.deadline - at.now - return_time();
    forwarded.deadline = request.deadline;
    at.out.emplace_back(std::move(forwarded));
}

void entry_machine::attempt_failed(entry_request& request, retry::failure_class kind,
                                   refusal_reason reason, routing::attempt_result result, step& at)
{
    m_shared.ledger.forfeit(request.context.call, request.attempt);
    request.runs += kind == retry::failure_class::may_have_run ? 1 : 0;
    request.tried.push_back(request.gatekeeper);
    end_attempt(request, result, at);
    if (!retry_later(request, kind, at)) {
        refuse_request(request, reason, at);
    }
}

bool entry_machine::retry_later(entry_request& request, retry::failure_class kind, step& at)
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
    failed.time_left = request.deadline - at.now;
    failed.time_needed = return_time();
    auto pause = retry::decide_retry(failed, m_retry_options);
    if (m_shared.options.pass_through) {
        if (!pause || request.attempts >= pass_through_attempts) {
            return false;
        }
        pause = base::duration::zero();
    }
    else if (!pause || m_shared.ledger.remaining(request.context.call) < base::retry_count(1) ||
             !may_spend(request, kind, at) || !m_shared.ledger.spend(request.context.call)) {
        return false;
    }
    if (*pause == base::duration::zero()) {
        try_forward(request, at);
        return true;
    }
    request.phase = entry_phase::pausing;
    m_deadlines.set(request.exchange, at.now + *pause);
    return true;
}

void entry_machine::end_attempt(entry_request& request, routing::attempt_result result, step& at)
{
    m_transfers.erase(request.transfer);
    router_of(request.service)
        .on_attempt_ended(request.gatekeeper, request.context.importance, result, at.now);
}

void entry_machine::refuse_request(entry_request& request, refusal_reason reason, step& at,
                                   std::optional<base::duration> retry_after)
{
    const outcome said = request.may_have_run ? outcome::unknown : outcome::not_run;
    if (request.grant && said == outcome::not_run) {
        at.out.emplace_back(give_token_back{*request.grant});
    }
    refuse refusal = refusal_of(request.exchange, said, reason);
    if (said == outcome::not_run) {
        refusal.retry_after = return_pause(reason, retry_after);
    }
    refusal.service = request.service;
    refusal.gatekeeper = request.gatekeeper;
    refusal.attempts = request.attempts;
    at.out.emplace_back(refusal);
    if (request.identity) {
        for (const auto& waiter : m_repeats.on_refused(*request.identity)) {
            refusal.exchange = exchange_id(waiter.value());
            at.out.emplace_back(refusal);
            erase(refusal.exchange, at);
        }
    }
    erase(request.exchange, at);
}

bool entry_machine::sheds_at_entry(base::importance level) const
{
    constexpr double range = 18446744073709551616.0;
    return m_shared.options.guard_processor &&
           m_shared.processor.should_shed(level,
                                          static_cast<double>(m_shared.options.random()) / range);
}

base::duration entry_machine::return_pause(refusal_reason reason,
                                           std::optional<base::duration> hint)
{
    // Spread over as long again, so that callers that were refused together do not return together.
    const auto shortest = std::max(hint.value_or(base::duration::zero()), shortest_return(reason));
    const auto spread = static_cast<std::uint64_t>(shortest.count());
    return shortest + base::duration(static_cast<std::int64_t>(m_shared.options.random() % spread));
}

void entry_machine::release_waiters(const std::vector<retry::waiter_id>& waiters,
                                    refusal_reason reason, step& at)
{
    for (const auto& waiter : waiters) {
        const exchange_id exchange(waiter.value());
        at.out.emplace_back(refusal_of(exchange, outcome::unknown, reason));
        erase(exchange, at);
    }
}

void entry_machine::settle_allowance(const entry_request& request)
{
    const auto unused = m_shared.ledger.close(request.context.call);
    if (request.parent) {
        m_shared.ledger.return_unused(*request.parent, request.context.call, unused);
    }
}

void entry_machine::erase(exchange_id exchange, step& at)
{
    auto found = m_requests.find(exchange);
    if (found == m_requests.end()) {
        return;
    }
    settle_allowance(found->second);
    if (found->second.parent) {
        m_shared.calls.onward_ended(*found->second.parent, exchange, at.now);
    }
    m_transfers.erase(found->second.transfer);
    m_deadlines.erase(exchange);
    m_requests.erase(found);
}

void entry_machine::hand_over(entry_request& from, exchange_id to, step& at)
{
    entry_request* joined = find(to);
    if (joined == nullptr) {
        return;
    }
    const exchange_id gone = from.exchange;
    entry_request running = std::move(from);
    running.exchange = to;
    running.body_can_be_resent = joined->body_can_be_resent;
    m_shared.ledger.close(joined->context.call);
    m_requests.erase(gone);
    m_deadlines.erase(gone);
    m_requests[to] = std::move(running);
    entry_request& request = m_requests[to];
    m_deadlines.set(to, request.deadline);
    if (request.phase == entry_phase::forwarded) {
        m_transfers[request.transfer] = to;
    }
    else {
        request.phase = entry_phase::pausing;
        if (!request.grant) {
            forward_or_ask(request, at);
        }
        else {
            try_forward(request, at);
        }
    }
}

void entry_machine::time_is_up(entry_request& request, step& at)
{
    switch (request.phase) {
    case entry_phase::pausing:
        if (at.now < request.deadline) {
            return try_forward(request, at);
        }
        break;
    case entry_phase::joined:
        m_repeats.on_caller_gone(*request.identity, retry::waiter_id(request.exchange.value()));
        request.identity.reset();
        request.may_have_run = true;
        break;
    case entry_phase::forwarded:
        at.out.emplace_back(cancel_transfer{request.transfer});
        request.may_have_run = request.may_have_run || request.sent;
        end_attempt(request, routing::attempt_result::timed_out, at);
        break;
    case entry_phase::relaying: {
        const exchange_id exchange = request.exchange;
        at.out.emplace_back(cut_answer{exchange});
        return cancel(exchange, at);
    }
    case entry_phase::waits_for_tokens:
        break;
    }
    refuse_request(request, refusal_reason::deadline, at);
}

bool entry_machine::may_spend(const entry_request& request, retry::failure_class kind, step& at)
{
    // What never reached a backend server adds nothing to its load.
    return kind == retry::failure_class::not_run_elsewhere ||
           budget_of(request).try_spend(at.now) || m_floor_budget.try_spend(at.now);
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
        found = m_routers.try_emplace(service, std::move(options)).first;
    }
    return found->second;
}

base::duration entry_machine::return_time() const
{
    return m_shared.options.return_margin + m_round_trip;
}

base::call_id entry_machine::draw_call()
{
    return base::call_id(m_shared.options.random());
}

void entry_machine::count_round_trip(base::duration measured)
{
    // Kept connections take no time, so the average would hide the round trip; the longest of late
    // does not.
    constexpr int fade = 64;
    const auto faded = m_round_trip - m_round_trip / fade;
    m_round_trip = std::min(longest_round_trip, std::max(faded, measured));
}

} // namespace damaskladder::node
