#include "node/gatekeeper_machine.hpp"

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

/// This attempt has not run, but the request may have, in another attempt.
outcome outcome_of(claim_denial denial)
{
    const bool other_attempt =
        denial == claim_denial::held || denial == claim_denial::already_answered;
    return other_attempt ? outcome::unknown : outcome::not_run;
}

admission::call_outcome outcome_of(answer_class answer)
{
    switch (answer) {
    case answer_class::served:
        return admission::call_outcome::served;
    case answer_class::failed:
        return admission::call_outcome::failed;
    case answer_class::overloaded:
        return admission::call_outcome::overloaded;
    }
    return admission::call_outcome::cancelled;
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

gatekeeper_machine::gatekeeper_machine(traffic_state& shared) : m_shared(shared) {}

void gatekeeper_machine::on(const call_arrived& seen, step& at)
{
    const local_backend_server* server = at.view.find_local(seen.service);
    gatekeeper_service& service = service_of(seen.service);
    sync(service, server, at);
    if (const auto reason = refusal_at_arrival(seen, server, at)) {
        refuse refusal = refusal_of(seen.exchange, outcome::not_run, *reason);
        refusal.allowance_left = seen.context.allowance;
        at.out.emplace_back(refusal);
        return;
    }
    gatekeeper_call call;
    call.exchange = seen.exchange;
    call.service = seen.service;
    call.context = seen.context;
    call.content = seen.content.value_or(base::content_hash());
    call.deadline = at.now + seen.context.budget;
    const auto [stored, is_new] = m_calls.try_emplace(seen.exchange, std::move(call));
    if (!is_new) {
        return;
    }
    m_deadlines.set(seen.exchange, stored->second.deadline);
    if (m_shared.options.pass_through) {
        return start(stored->second, at);
    }
    admission::call_request request;
    request.id = ticket_of(seen.exchange);
    request.open = seen.context.workspace == base::workspace_id();
    request.workspace = seen.context.workspace;
    request.weight = request.open ? base::share_weight(1) : at.view.weight_of(request.workspace);
    request.importance = seen.context.importance;
    request.deadline = stored->second.deadline;
    std::vector<admission::verdict> verdicts;
    service.control.offer(request, at.now, verdicts);
    apply(verdicts, at);
}

void gatekeeper_machine::on(const claim_granted& seen, step& at)
{
    gatekeeper_call* call = find(seen.attempt);
    if (call == nullptr || call->phase != gatekeeper_phase::claiming) {
        return;
    }
    const auto problem =
        call->deadline <= at.now ? std::optional(refusal_reason::deadline) : key_problem(*call, at);
    if (problem) {
        refuse_call(*call, outcome::not_run, *problem, admission::call_outcome::cancelled, at);
        return;
    }
    hand_over(*call, at);
}

void gatekeeper_machine::on(const claim_denied& seen, step& at)
{
    gatekeeper_call* call = find(seen.attempt);
    if (call == nullptr || call->phase != gatekeeper_phase::claiming) {
        return;
    }
    // There is no claim to release, unless the answer "unavailable" hides one.
    if (seen.reason != claim_denial::unavailable) {
        m_attempts.erase(*call->attempt);
        call->attempt.reset();
    }
    refuse_call(*call, outcome_of(seen.reason), reason_of(seen.reason),
                admission::call_outcome::cancelled, at);
}

void gatekeeper_machine::on(const transfer_connected& seen, step& /*at*/)
{
    gatekeeper_call* call = find(seen.transfer);
    if (call != nullptr && call->phase == gatekeeper_phase::connecting) {
        call->phase = gatekeeper_phase::sent;
    }
}

void gatekeeper_machine::on(const connect_failed& seen, step& at)
{
    gatekeeper_call* call = find(seen.transfer);
    if (call != nullptr && call->phase == gatekeeper_phase::connecting) {
        refuse_call(*call, outcome::not_run, refusal_reason::unreachable,
                    admission::call_outcome::failed, at);
    }
    else if (call != nullptr) {
        // Bytes may have been sent before; the front end is not trusted to know better.
        on(transfer_broke{seen.transfer}, at);
    }
}

void gatekeeper_machine::on(const transfer_broke& seen, step& at)
{
    gatekeeper_call* call = find(seen.transfer);
    if (call == nullptr) {
        return;
    }
    if (call->phase == gatekeeper_phase::answering) {
        at.out.emplace_back(cut_answer{call->exchange});
        end(*call, admission::call_outcome::failed, at);
        return;
    }
    call->phase = gatekeeper_phase::sent;
    refuse_call(*call, outcome::unknown, refusal_reason::backend_failed,
                admission::call_outcome::failed, at);
}

void gatekeeper_machine::on(const backend_refused& seen, step& at)
{
    gatekeeper_call* call = find(seen.transfer);
    if (call != nullptr && call->phase != gatekeeper_phase::answering) {
        refuse_call(*call, outcome::not_run, refusal_reason::backend_shed,
                    admission::call_outcome::overloaded, at);
    }
}

void gatekeeper_machine::on(const answer_started& seen, step& at)
{
    gatekeeper_call* call = find(seen.transfer);
    if (call == nullptr || call->phase == gatekeeper_phase::answering) {
        return;
    }
    call->phase = gatekeeper_phase::answering;
    call->answer = seen.answer;
    call->own_latency =
        at.now - call->started_at - m_shared.calls.waited(call->context.call, at.now);
    m_deadlines.set(call->exchange, at.now + m_shared.options.longest_answer);
    relay_answer relay;
    relay.exchange = call->exchange;
    relay.transfer = call->transfer;
    relay.allowance_left = m_shared.ledger.close(call->context.call);
    relay.shed = shed_level(call->service, at);
    relay.load = load_of(call->service);
    at.out.emplace_back(relay);
}

void gatekeeper_machine::on(const answer_finished& seen, step& at)
{
    gatekeeper_call* call = find(seen.transfer);
    if (call == nullptr || call->phase != gatekeeper_phase::answering) {
        return;
    }
    if (call->attempt) {
        at.out.emplace_back(complete_claim{*call->attempt});
    }
    end(*call, outcome_of(call->answer), at);
}

void gatekeeper_machine::on(const caller_gone& seen, step& at)
{
    gatekeeper_call* call = find(seen.exchange);
    if (call == nullptr) {
        return;
    }
    switch (call->phase) {
    case gatekeeper_phase::queued:
        service_of(call->service).control.caller_gone(ticket_of(call->exchange));
        end(*call, std::nullopt, at);
        return;
    case gatekeeper_phase::claiming:
        break;
    case gatekeeper_phase::connecting:
    case gatekeeper_phase::sent:
    case gatekeeper_phase::answering:
        at.out.emplace_back(cancel_transfer{call->transfer});
        break;
    }
    end(*call, admission::call_outcome::cancelled, at);
}

void gatekeeper_machine::on(const drain_requested& seen, step& at)
{
    gatekeeper_service& service = service_of(seen.service);
    service.drain_requested = true;
    service.drain_seen = false;
    sync(service, at.view.find_local(seen.service), at);
}

void gatekeeper_machine::on(const tick& /*seen*/, step& at)
{
    while (const auto due = m_deadlines.take_due(at.now)) {
        if (gatekeeper_call* call = find(*due)) {
            time_is_up(*call, at);
        }
    }
    for (auto& [id, service] : m_services) {
        sync(service, at.view.find_local(id), at);
        std::vector<admission::verdict> verdicts;
        service.control.expire(at.now, verdicts);
        apply(verdicts, at);
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
gatekeeper_machine::refusal_at_arrival(const call_arrived& seen, const local_backend_server* server,
                                       step& at) const
{
    const bool runs_already = m_shared.calls.find(seen.context.call) != nullptr;
    if (m_shared.stopping) {
        return refusal_reason::stopping;
    }
    if (seen.context.depth > m_shared.options.max_depth) {
        return refusal_reason::too_deep;
    }
    const bool needs_claim = !seen.context.idempotent && seen.context.claimed;
    if (runs_already || (needs_claim && !seen.content)) {
        return refusal_reason::bad_request;
    }
    gatekeeper_call call;
    call.service = seen.service;
    call.context = seen.context;
    if (const auto problem = key_problem(call, at)) {
        return problem;
    }
    if (server == nullptr) {
        return refusal_reason::no_backend_server;
    }
    const auto& service = m_services.at(seen.service);
    if (service.closed) {
        return refusal_reason::draining;
    }
    return std::nullopt;
}

std::optional<refusal_reason> gatekeeper_machine::key_problem(const gatekeeper_call& call,
                                                              step& at) const
{
    if (call.context.workspace == base::workspace_id()) {
        return std::nullopt;
    }
    const local_backend_server* server = at.view.find_local(call.service);
    if (server != nullptr && at.now - at.view.settings_confirmed_at > server->max_staleness) {
        return refusal_reason::stale_settings;
    }
    if (!at.view.key_active(call.context.key)) {
        return refusal_reason::key_withdrawn;
    }
    return std::nullopt;
}

void gatekeeper_machine::sync(gatekeeper_service& service, const local_backend_server* server,
                              step& at)
{
    const bool announced = server != nullptr && !server->draining;
    if (!announced) {
        service.drain_seen = true;
    }
    else if (service.drain_seen) {
        service.drain_requested = false;
    }
    std::vector<admission::verdict> verdicts;
    const bool closed = !announced || service.drain_requested;
    if (closed && !service.closed) {
        service.control.close(verdicts);
    }
    if (!closed && service.closed) {
        service.control.reopen();
        service.drain_seen = false;
    }
    service.closed = closed;
    if (!closed) {
        service.control.announce(server->slots, server->cold, at.now, verdicts);
    }
    apply(verdicts, at);
}

void gatekeeper_machine::apply(const std::vector<admission::verdict>& verdicts, step& at)
{
    for (const auto& verdict : verdicts) {
        apply_one(verdict, at);
    }
}

void gatekeeper_machine::apply_one(const admission::verdict& verdict, step& at)
{
    gatekeeper_call* call = find(exchange_id(verdict.id.value()));
    if (call == nullptr) {
        return;
    }
    switch (verdict.kind) {
    case admission::verdict_kind::start:
        return start(*call, at);
    case admission::verdict_kind::shed:
        return refuse_call(*call, outcome::not_run, refusal_reason::shed, std::nullopt, at);
    case admission::verdict_kind::deadline:
        return refuse_call(*call, outcome::not_run, refusal_reason::deadline, std::nullopt, at);
    case admission::verdict_kind::closed:
        return refuse_call(*call, outcome::not_run, refusal_reason::draining, std::nullopt, at);
    }
}

void gatekeeper_machine::start(gatekeeper_call& call, step& at)
{
    if (const auto problem = key_problem(call, at)) {
        return refuse_call(call, outcome::not_run, *problem, admission::call_outcome::cancelled,
                           at);
    }
    if (call.context.idempotent || !call.context.claimed) {
        return hand_over(call, at);
    }
    call.phase = gatekeeper_phase::claiming;
    call.attempt = base::attempt_id(m_shared.options.random());
    m_attempts[*call.attempt] = call.exchange;
    at.out.emplace_back(ask_claim{*call.attempt, call.context.workspace, call.context.request,
                                  call.content, call.deadline});
}

void gatekeeper_machine::hand_over(gatekeeper_call& call, step& at)
{
    if (!m_shared.calls.add(call.context, call.deadline)) {
        return refuse_call(call, outcome::not_run, refusal_reason::bad_request,
                           admission::call_outcome::cancelled, at);
    }
    m_shared.ledger.open(call.context.call, call.context.allowance);
    call.phase = gatekeeper_phase::connecting;
    call.transfer = m_shared.next_transfer();
    call.started_at = at.now;
    m_transfers[call.transfer] = call.exchange;
    at.out.emplace_back(start_at_backend_server{call.transfer, call.exchange, call.service,
                                                call.context, call.deadline,
                                                !call.context.idempotent});
}

void gatekeeper_machine::refuse_call(gatekeeper_call& call, outcome said, refusal_reason reason,
                                     std::optional<admission::call_outcome> ended, step& at)
{
    refuse refusal = refusal_of(call.exchange, said, reason);
    const bool handed_over =
        call.phase == gatekeeper_phase::connecting || call.phase == gatekeeper_phase::sent;
    refusal.allowance_left =
        handed_over ? m_shared.ledger.close(call.context.call) : call.context.allowance;
    refusal.shed = shed_level(call.service, at);
    refusal.load = load_of(call.service);
    refusal.service = call.service;
    at.out.emplace_back(refusal);
    end(call, ended, at);
}

void gatekeeper_machine::end(gatekeeper_call& call, std::optional<admission::call_outcome> ended,
                             step& at)
{
    const gatekeeper_call ending = call;
    m_calls.erase(ending.exchange);
    m_deadlines.erase(ending.exchange);
    m_transfers.erase(ending.transfer);
    const bool unsent =
        ending.phase == gatekeeper_phase::claiming || ending.phase == gatekeeper_phase::connecting;
    if (ending.attempt) {
        m_attempts.erase(*ending.attempt);
        if (unsent) {
            at.out.emplace_back(release_claim{*ending.attempt});
        }
    }
    const bool handed_over =
        ending.phase != gatekeeper_phase::queued && ending.phase != gatekeeper_phase::claiming;
    if (handed_over) {
        m_shared.ledger.close(ending.context.call);
        const bool answered = ending.phase == gatekeeper_phase::answering;
        for (const auto& onward : m_shared.calls.remove(ending.context.call)) {
            if (!answered) {
                at.cancel(onward);
            }
        }
    }
    if (ended && !m_shared.options.pass_through) {
        std::vector<admission::verdict> verdicts;
        const bool answered = ending.phase == gatekeeper_phase::answering;
        const auto latency = answered ? ending.own_latency : at.now - ending.started_at;
        service_of(ending.service)
            .control.finished(ticket_of(ending.exchange), *ended, latency, at.now, verdicts);
        apply(verdicts, at);
    }
}

void gatekeeper_machine::time_is_up(gatekeeper_call& call, step& at)
{
    switch (call.phase) {
    case gatekeeper_phase::queued:
        service_of(call.service).control.caller_gone(ticket_of(call.exchange));
        return refuse_call(call, outcome::not_run, refusal_reason::deadline, std::nullopt, at);
    case gatekeeper_phase::claiming:
        return refuse_call(call, outcome::not_run, refusal_reason::deadline,
                           admission::call_outcome::cancelled, at);
    case gatekeeper_phase::connecting:
        at.out.emplace_back(cancel_transfer{call.transfer});
        return refuse_call(call, outcome::not_run, refusal_reason::deadline,
                           admission::call_outcome::timed_out, at);
    case gatekeeper_phase::sent:
        at.out.emplace_back(cancel_transfer{call.transfer});
        return refuse_call(call, outcome::unknown, refusal_reason::deadline,
                           admission::call_outcome::timed_out, at);
    case gatekeeper_phase::answering:
        at.out.emplace_back(cancel_transfer{call.transfer});
        at.out.emplace_back(cut_answer{call.exchange});
        return end(call, admission::call_outcome::failed, at);
    }
}

std::optional<routing::load_report>
gatekeeper_machine::load_of(const base::service_id& service) const
{
    const admission::controller* control = control_of(service);
    if (control == nullptr || control->limit() <= base::slot_count(0)) {
        return std::nullopt;
    }
    const base::slot_count waiting(control->queued());
    return routing::load_report{control->running() + waiting, control->limit()};
}

std::optional<base::importance> gatekeeper_machine::shed_level(const base::service_id& service,
                                                               step& at) const
{
    const admission::controller* control = control_of(service);
    return control == nullptr ? std::nullopt : control->shed_level(at.now);
}

} // namespace damaskladder::node
