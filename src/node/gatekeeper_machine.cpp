#include "node/gatekeeper_machine.hpp"

#include "node/final_or_stale.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::node {
namespace {

admission::ticket ticket_of(exchange_id exchange)
{
    return admission::ticket(exchange.value());
}

refusal_reason reason_of(claim_denial denial)
{
    switch (denial) {
    case claim_denial::held:
        return refusal_reason::claim_held;
    case claim_denial::already_answered:
        return refusal_reason::already_answered;
    case claim_denial::other_content:
        return refusal_reason::other_content;
    case claim_denial::bad_request_id:
        return refusal_reason::request_id_required;
    case claim_denial::unavailable:
        return refusal_reason::claim_unavailable;
    }
    return refusal_reason::claim_unavailable;
}

/// This attempt has not run, but another attempt of the same request may have.
outcome outcome_of(claim_denial denial)
{
    const bool other_attempt =
        denial == claim_denial::held || denial == claim_denial::already_answered;
    return other_attempt ? outcome::unknown : outcome::not_run;
}

admission::call_outcome outcome_of(response_class response)
{
    switch (response) {
    case response_class::served:
        return admission::call_outcome::served;
    case response_class::failed:
        return admission::call_outcome::failed;
    case response_class::overloaded:
        return admission::call_outcome::overloaded;
    }
    return admission::call_outcome::cancelled;
}

/// Whether the run that requested the drain has been replaced.
bool is_later_run(const gatekeeper_service& service, const local_backend_server& server)
{
    return service.drained_run != base::instance_id() && server.instance != service.drained_run;
}

/// Reason for which the gatekeeper accepts no new calls; none if it accepts them. Draining is named
/// first, since it lasts until the server has been replaced.
std::optional<refusal_reason> reason_to_close(const gatekeeper_service& service,
                                              const local_backend_server* server)
{
    if (server == nullptr || server->draining || service.drain_requested) {
        return refusal_reason::draining;
    }
    return server->evacuated ? std::optional(refusal_reason::evacuated) : std::nullopt;
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

gatekeeper_machine::gatekeeper_machine(traffic_state& shared) : m_shared(shared) {}

void gatekeeper_machine::on(const call_arrived& received, event_context& ctx)
{
    const local_backend_server* server = ctx.view.find_local(received.service);
    gatekeeper_service& service = service_of(received.service);
    update_from_view(service, server, ctx);
    service.cold.offered(received.context.importance, ctx.now);
    if (const auto reason = refusal_at_arrival(received, server, ctx)) {
        refuse refusal = refusal_of(received.exchange, outcome::not_run, *reason);
        refusal.allowance_left = received.context.allowance;
        refusal.load = load_of(received.service, ctx);
        refusal.pressure = pressure_of(received.service, received.context.route, ctx);
        ctx.out.emplace_back(refusal);
        return;
    }
    gatekeeper_call call;
    call.exchange = received.exchange;
    call.service = received.service;
    call.context = received.context;
    call.content = received.content.value_or(base::content_hash());
    call.deadline = ctx.now + received.context.budget;
    const auto [stored, is_new] = m_calls.try_emplace(received.exchange, std::move(call));
    if (!is_new) {
        return;
    }
    m_deadlines.set(received.exchange, stored->second.deadline);
    if (m_shared.options.pass_through) {
        return start(stored->second, ctx);
    }
    admission::call_request request;
    request.id = ticket_of(received.exchange);
    request.open = received.context.workspace == base::workspace_id();
    request.workspace = received.context.workspace;
    request.weight = request.open ? base::share_weight(1) : ctx.view.weight_of(request.workspace);
    request.importance = received.context.importance;
    request.deadline = stored->second.deadline;
    std::vector<admission::verdict> verdicts;
    service.control.offer(request, ctx.now, verdicts);
    apply_verdicts(verdicts, ctx);
    m_shared.trees.observe(received.service, load_of(received.service, ctx), ctx.now);
}

void gatekeeper_machine::on(const claim_granted& received, event_context& ctx)
{
    gatekeeper_call* call = find(received.attempt);
    if (call == nullptr || call->phase != gatekeeper_phase::claiming) {
        return;
    }
    auto problem = call->deadline <= ctx.now ? std::optional(refusal_reason::deadline)
                                             : key_problem(*call, ctx);
    if (!problem && service_of(call->service).closed_reason == refusal_reason::evacuated) {
        problem = refusal_reason::evacuated;
    }
    if (problem) {
        refuse_call(*call, outcome::not_run, *problem, admission::call_outcome::cancelled, ctx);
        return;
    }
    dispatch(*call, ctx);
}

void gatekeeper_machine::on(const claim_denied& received, event_context& ctx)
{
    gatekeeper_call* call = find(received.attempt);
    if (call == nullptr || call->phase != gatekeeper_phase::claiming) {
        return;
    }
    // A denial means that this attempt has no claim, except "unavailable": a claim may then exist,
    // so the attempt is kept and the claim is released below.
    if (received.reason != claim_denial::unavailable) {
        m_attempts.erase(*call->attempt);
        call->attempt.reset();
    }
    refuse_call(*call, outcome_of(received.reason), reason_of(received.reason),
                admission::call_outcome::cancelled, ctx);
}

void gatekeeper_machine::on(const transfer_connected& received, event_context& /*at*/)
{
    gatekeeper_call* call = find(received.transfer);
    if (call != nullptr && call->phase == gatekeeper_phase::connecting) {
        call->phase = gatekeeper_phase::sent;
    }
}

void gatekeeper_machine::on(const connect_failed& received, event_context& ctx)
{
    gatekeeper_call* call = find(received.transfer);
    if (call != nullptr) {
        service_of(call->service).cold.state_unknown(ctx.now);
    }
    if (call != nullptr && call->phase == gatekeeper_phase::connecting) {
        refuse_call(*call, outcome::not_run, refusal_reason::unreachable,
                    admission::call_outcome::failed, ctx);
    }
    else if (call != nullptr) {
        // After transfer_connected, bytes may have been sent. The contradicting report of the
        // front end is treated as a broken transfer.
        on(transfer_failed{received.transfer}, ctx);
    }
}

void gatekeeper_machine::on(const transfer_failed& received, event_context& ctx)
{
    gatekeeper_call* call = find(received.transfer);
    if (call == nullptr) {
        return;
    }
    service_of(call->service).cold.state_unknown(ctx.now);
    if (call->phase == gatekeeper_phase::responding) {
        ctx.out.emplace_back(abort_response{call->exchange});
        end_call(*call, admission::call_outcome::failed, ctx);
        return;
    }
    call->phase = gatekeeper_phase::sent;
    refuse_call(*call, outcome::unknown, refusal_reason::backend_failed,
                admission::call_outcome::failed, ctx);
}

void gatekeeper_machine::on(const backend_refused& received, event_context& ctx)
{
    gatekeeper_call* call = find(received.transfer);
    if (call != nullptr && call->phase != gatekeeper_phase::responding) {
        refuse_call(*call, outcome::not_run, refusal_reason::backend_shed,
                    admission::call_outcome::overloaded, ctx);
    }
}

void gatekeeper_machine::on(const response_started& received, event_context& ctx)
{
    gatekeeper_call* call = find(received.transfer);
    if (call == nullptr || call->phase == gatekeeper_phase::responding) {
        return;
    }
    call->phase = gatekeeper_phase::responding;
    call->response = received.response;
    call->own_latency =
        ctx.now - call->started_at - m_shared.calls.onward_time(call->context.call, ctx.now);
    m_deadlines.set(call->exchange, ctx.now + m_shared.response_time(call->context));
    relay_response relay;
    relay.exchange = call->exchange;
    relay.transfer = call->transfer;
    relay.allowance_left = m_shared.ledger.close(call->context.call);
    relay.shed = shed_level(call->service, ctx);
    relay.load = load_of(call->service, ctx);
    relay.pressure = pressure_of(call->service, call->context.route, ctx);
    ctx.out.emplace_back(relay);
}

void gatekeeper_machine::on(const response_finished& received, event_context& ctx)
{
    gatekeeper_call* call = find(received.transfer);
    if (call == nullptr || call->phase != gatekeeper_phase::responding) {
        return;
    }
    if (call->attempt) {
        ctx.out.emplace_back(complete_claim{*call->attempt});
    }
    end_call(*call, outcome_of(call->response), ctx);
}

void gatekeeper_machine::on(const caller_disconnected& received, event_context& ctx)
{
    gatekeeper_call* call = find(received.exchange);
    if (call == nullptr) {
        return;
    }
    switch (call->phase) {
    case gatekeeper_phase::queued:
        service_of(call->service).control.caller_gone(ticket_of(call->exchange));
        end_call(*call, std::nullopt, ctx);
        return;
    case gatekeeper_phase::claiming:
        break;
    case gatekeeper_phase::connecting:
    case gatekeeper_phase::sent:
    case gatekeeper_phase::responding:
        ctx.out.emplace_back(cancel_transfer{call->transfer});
        break;
    }
    end_call(*call, admission::call_outcome::cancelled, ctx);
}

void gatekeeper_machine::on(const drain_requested& received, event_context& ctx)
{
    drain(received.service, {}, ctx);
}

void gatekeeper_machine::on(const backend_state_reported& received, event_context& ctx)
{
    const local_backend_server* server = ctx.view.find_local(received.service);
    const bool earlier_run = server != nullptr && server->instance != received.instance;
    if (earlier_run) {
        return;
    }
    gatekeeper_service& service = service_of(received.service);
    if (received.rate_valid) {
        service.rate.set(received.rate, ctx.now);
    }
    if (received.leaving && !service.drain_requested) {
        drain(received.service, received.instance, ctx);
    }
}

void gatekeeper_machine::drain(const base::service_id& id, const base::instance_id& run,
                               event_context& ctx)
{
    gatekeeper_service& service = service_of(id);
    service.drain_requested = true;
    service.drain_seen = false;
    service.drained_run = run;
    update_from_view(service, ctx.view.find_local(id), ctx);
}

void gatekeeper_machine::on(const tick& /*seen*/, event_context& ctx)
{
    while (const auto due = m_deadlines.take_due(ctx.now)) {
        if (gatekeeper_call* call = find(*due)) {
            handle_deadline(*call, ctx);
        }
    }
    for (auto& [id, service] : m_services) {
        update_from_view(service, ctx.view.find_local(id), ctx);
        std::vector<admission::verdict> verdicts;
        service.control.expire(ctx.now, verdicts);
        apply_verdicts(verdicts, ctx);
    }
}

std::optional<base::time_point> gatekeeper_machine::next_deadline() const
{
    auto earliest = m_deadlines.earliest();
    for (const auto& item : m_services) {
        const auto next = item.second.control.next_deadline();
        if (next && (!earliest || *next < *earliest)) {
            earliest = next;
        }
    }
    return earliest;
}

const admission::controller* gatekeeper_machine::control_of(const base::service_id& service) const
{
    auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second.control;
}

gatekeeper_call* gatekeeper_machine::find(exchange_id exchange)
{
    auto found = m_calls.find(exchange);
    return found == m_calls.end() ? nullptr : &found->second;
}

gatekeeper_call* gatekeeper_machine::find(transfer_id transfer)
{
    auto found = m_transfers.find(transfer);
    return found == m_transfers.end() ? nullptr : find(found->second);
}

gatekeeper_call* gatekeeper_machine::find(base::attempt_id attempt)
{
    auto found = m_attempts.find(attempt);
    return found == m_attempts.end() ? nullptr : find(found->second);
}

gatekeeper_service& gatekeeper_machine::service_of(const base::service_id& service)
{
    return m_services.try_emplace(service, m_shared.options.admission).first->second;
}

std::optional<refusal_reason>
gatekeeper_machine::refusal_at_arrival(const call_arrived& received,
                                       const local_backend_server* server, event_context& ctx) const
{
    const bool runs_already = m_shared.calls.find(received.context.call) != nullptr;
    if (m_shared.stopping) {
        return refusal_reason::stopping;
    }
    if (received.context.depth > m_shared.options.max_depth) {
        return refusal_reason::too_deep;
    }
    const bool needs_claim = !received.context.idempotent && received.context.claimed;
    if (runs_already || (needs_claim && !received.content)) {
        return refusal_reason::bad_request;
    }
    gatekeeper_call call;
    call.service = received.service;
    call.context = received.context;
    if (const auto problem = key_problem(call, ctx)) {
        return problem;
    }
    if (server == nullptr) {
        return refusal_reason::no_backend_server;
    }
    const auto& service = m_services.at(received.service);
    if (service.closed_reason) {
        return service.closed_reason;
    }
    if (!service.rate.allows(received.context.importance, ctx.now) ||
        !service.cold.allows(received.context.importance, ctx.now)) {
        return refusal_reason::backend_limit;
    }
    return std::nullopt;
}

std::optional<refusal_reason> gatekeeper_machine::key_problem(const gatekeeper_call& call,
                                                              event_context& ctx) const
{
    if (call.context.workspace == base::workspace_id()) {
        return std::nullopt;
    }
    const local_backend_server* server = ctx.view.find_local(call.service);
    if (server != nullptr && ctx.now - ctx.view.settings_confirmed_at > server->max_staleness) {
        return refusal_reason::stale_settings;
    }
    if (!ctx.view.key_active(call.context.key)) {
        return final_or_stale(refusal_reason::key_withdrawn, call.context, ctx.view);
    }
    return std::nullopt;
}

void gatekeeper_machine::update_from_view(gatekeeper_service& service,
                                          const local_backend_server* server, event_context& ctx)
{
    const bool announced = server != nullptr && !server->draining;
    if (!announced) {
        service.drain_seen = true;
    }
    else if (service.drain_seen || is_later_run(service, *server)) {
        service.drain_requested = false;
    }
    std::vector<admission::verdict> verdicts;
    const auto closed_reason = reason_to_close(service, server);
    if (closed_reason && !service.closed_reason) {
        service.control.close(verdicts);
    }
    if (!closed_reason && service.closed_reason) {
        service.control.reopen();
        service.drain_seen = false;
        service.cold.state_unknown(ctx.now);
    }
    service.closed_reason = closed_reason;
    if (server != nullptr) {
        service.cold.update(*server, ctx.view.started_at);
    }
    if (!closed_reason) {
        service.control.announce(server->slots, server->cold, ctx.now, verdicts);
    }
    apply_verdicts(verdicts, ctx);
}

void gatekeeper_machine::apply_verdicts(const std::vector<admission::verdict>& verdicts,
                                        event_context& ctx)
{
    for (const auto& verdict : verdicts) {
        apply_verdict(verdict, ctx);
    }
}

void gatekeeper_machine::apply_verdict(const admission::verdict& verdict, event_context& ctx)
{
    gatekeeper_call* call = find(exchange_id(verdict.id.value()));
    if (call == nullptr) {
        return;
    }
    switch (verdict.kind) {
    case admission::verdict_kind::start:
        return start(*call, ctx);
    case admission::verdict_kind::shed:
        return refuse_call(*call, outcome::not_run, refusal_reason::shed, std::nullopt, ctx);
    case admission::verdict_kind::deadline:
        return refuse_call(*call, outcome::not_run, refusal_reason::deadline, std::nullopt, ctx);
    case admission::verdict_kind::closed:
        return refuse_call(
            *call, outcome::not_run,
            service_of(call->service).closed_reason.value_or(refusal_reason::draining),
            std::nullopt, ctx);
    }
}

void gatekeeper_machine::start(gatekeeper_call& call, event_context& ctx)
{
    if (const auto problem = key_problem(call, ctx)) {
        return refuse_call(call, outcome::not_run, *problem, admission::call_outcome::cancelled,
                           ctx);
    }
    if (call.context.idempotent || !call.context.claimed) {
        return dispatch(call, ctx);
    }
    call.phase = gatekeeper_phase::claiming;
    call.attempt = base::attempt_id(m_shared.options.random());
    m_attempts[*call.attempt] = call.exchange;
    ctx.out.emplace_back(request_claim{*call.attempt, call.context.workspace, call.context.request,
                                       call.content, call.deadline});
}

void gatekeeper_machine::dispatch(gatekeeper_call& call, event_context& ctx)
{
    gatekeeper_service& service = service_of(call.service);
    if (const local_backend_server* server = ctx.view.find_local(call.service)) {
        // The server may have become cold while the call was queued.
        service.cold.update(*server, ctx.view.started_at);
    }
    if (!service.rate.allows(call.context.importance, ctx.now) ||
        !service.cold.allows(call.context.importance, ctx.now)) {
        return refuse_call(call, outcome::not_run, refusal_reason::backend_limit,
                           admission::call_outcome::cancelled, ctx);
    }
    if (!m_shared.calls.add(call.context, call.deadline)) {
        return refuse_call(call, outcome::not_run, refusal_reason::bad_request,
                           admission::call_outcome::cancelled, ctx);
    }
    service.rate.take(ctx.now);
    service.cold.take(call.context.importance, ctx.now);
    m_shared.ledger.open(call.context.call, call.context.allowance);
    m_shared.trees.run_started(call.context, ctx.now);
    call.phase = gatekeeper_phase::connecting;
    call.transfer = m_shared.next_transfer();
    call.started_at = ctx.now;
    m_transfers[call.transfer] = call.exchange;
    ctx.out.emplace_back(start_at_backend_server{call.transfer, call.exchange, call.service,
                                                 call.context, call.deadline,
                                                 !call.context.idempotent});
}

void gatekeeper_machine::refuse_call(gatekeeper_call& call, outcome reported_outcome,
                                     refusal_reason reason,
                                     std::optional<admission::call_outcome> ended,
                                     event_context& ctx)
{
    refuse refusal = refusal_of(call.exchange, reported_outcome, reason);
    const bool dispatched =
        call.phase == gatekeeper_phase::connecting || call.phase == gatekeeper_phase::sent;
    refusal.allowance_left =
        dispatched ? m_shared.ledger.close(call.context.call) : call.context.allowance;
    refusal.shed = shed_level(call.service, ctx);
    refusal.load = load_of(call.service, ctx);
    refusal.pressure = pressure_of(call.service, call.context.route, ctx);
    refusal.service = call.service;
    ctx.out.emplace_back(refusal);
    end_call(call, ended, ctx);
}

void gatekeeper_machine::end_call(gatekeeper_call& call,
                                  std::optional<admission::call_outcome> ended, event_context& ctx)
{
    const gatekeeper_call ended_call = call;
    m_calls.erase(ended_call.exchange);
    m_deadlines.erase(ended_call.exchange);
    m_transfers.erase(ended_call.transfer);
    const bool unsent = ended_call.phase == gatekeeper_phase::claiming ||
                        ended_call.phase == gatekeeper_phase::connecting;
    if (ended_call.attempt) {
        m_attempts.erase(*ended_call.attempt);
        if (unsent) {
            ctx.out.emplace_back(release_claim{*ended_call.attempt});
        }
    }
    const bool dispatched = ended_call.phase != gatekeeper_phase::queued &&
                            ended_call.phase != gatekeeper_phase::claiming;
    if (dispatched) {
        m_shared.ledger.close(ended_call.context.call);
        m_shared.trees.run_ended(ended_call.context, ctx.now);
        const bool answered = ended_call.phase == gatekeeper_phase::responding;
        for (const auto& onward : m_shared.calls.remove(ended_call.context.call)) {
            if (!answered) {
                ctx.cancel(onward);
            }
        }
    }
    if (ended && !m_shared.options.pass_through) {
        std::vector<admission::verdict> verdicts;
        const bool answered = ended_call.phase == gatekeeper_phase::responding;
        const auto latency = answered ? ended_call.own_latency : ctx.now - ended_call.started_at;
        gatekeeper_service& service = service_of(ended_call.service);
        if (answered) {
            service.run_time.add(ctx.now - ended_call.started_at, ctx.now);
        }
        service.control.finished(ticket_of(ended_call.exchange), *ended, latency, ctx.now,
                                 verdicts);
        apply_verdicts(verdicts, ctx);
    }
    m_shared.trees.observe(ended_call.service, load_of(ended_call.service, ctx), ctx.now);
}

void gatekeeper_machine::handle_deadline(gatekeeper_call& call, event_context& ctx)
{
    switch (call.phase) {
    case gatekeeper_phase::queued:
        service_of(call.service).control.caller_gone(ticket_of(call.exchange));
        return refuse_call(call, outcome::not_run, refusal_reason::deadline, std::nullopt, ctx);
    case gatekeeper_phase::claiming:
        return refuse_call(call, outcome::not_run, refusal_reason::deadline,
                           admission::call_outcome::cancelled, ctx);
    case gatekeeper_phase::connecting:
        ctx.out.emplace_back(cancel_transfer{call.transfer});
        return refuse_call(call, outcome::not_run, refusal_reason::deadline,
                           admission::call_outcome::timed_out, ctx);
    case gatekeeper_phase::sent:
        ctx.out.emplace_back(cancel_transfer{call.transfer});
        return refuse_call(call, outcome::unknown, refusal_reason::deadline,
                           admission::call_outcome::timed_out, ctx);
    case gatekeeper_phase::responding:
        ctx.out.emplace_back(cancel_transfer{call.transfer});
        ctx.out.emplace_back(abort_response{call.exchange});
        return end_call(call, admission::call_outcome::failed, ctx);
    }
}

std::optional<routing::load_report> gatekeeper_machine::load_of(const base::service_id& service,
                                                                event_context& ctx) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.control.limit() <= base::slot_count(0)) {
        return std::nullopt;
    }
    const admission::controller& control = found->second.control;
    const base::slot_count busy = control.running() + base::slot_count(control.queued());
    // A server that has used up its rate counts as full, whatever runs on it.
    const auto limit = static_cast<double>(control.limit().value());
    const double used =
        std::max(found->second.rate.used_share(ctx.now), found->second.cold.used_share(ctx.now));
    const base::slot_count by_rate(static_cast<std::int64_t>(limit * used));
    return routing::load_report{std::max(busy, by_rate), control.limit(),
                                found->second.run_time.typical()};
}

std::optional<base::load_fraction> gatekeeper_machine::pressure_of(const base::service_id& service,
                                                                   const base::route_id& route,
                                                                   event_context& ctx)
{
    m_shared.trees.observe(service, load_of(service, ctx), ctx.now);
    return m_shared.trees.pressure_of(service, route, ctx.now);
}

std::optional<base::importance> gatekeeper_machine::shed_level(const base::service_id& service,
                                                               event_context& ctx) const
{
    const admission::controller* control = control_of(service);
    return control == nullptr ? std::nullopt : control->shed_level(ctx.now);
}

} // namespace damaskladder::node
