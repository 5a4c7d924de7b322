#include "load/load_runner.hpp"

#include "http/header_names.hpp"
#include "load/classify.hpp"
#include "load/request_id_text.hpp"

#include <algorithm>

namespace damaskladder::load {

namespace {

constexpr auto command_timeout = std::chrono::seconds(5);

std::string text(std::string_view view)
{
    return std::string(view);
}

} // namespace

load_runner::load_runner(http::event_loop& loop, experiment plan, std::vector<key_text> keys,
                         runner_hooks hooks)
    : m_loop(loop),
      m_plan(std::move(plan)),
      m_keys(std::move(keys)),
      m_hooks(std::move(hooks)),
      m_client(loop),
      m_timer(loop),
      m_schedule(m_plan),
      m_statistics(m_plan),
      m_commands(m_plan.commands.begin(), m_plan.commands.end())
{
    m_keys.resize(m_plan.streams.size());
    std::stable_sort(m_commands.begin(), m_commands.end(),
                     [](const auto& a, const auto& b) { return a.at < b.at; });
    m_loop.each_round([this](base::time_point now) { return round(now); });
}

void load_runner::start()
{
    m_start = http::event_loop::now();
}

void load_runner::stop()
{
    m_interrupted = true;
    m_commands.clear();
}

run_report load_runner::report() const
{
    auto summary = m_statistics.report();
    summary.interrupted = m_interrupted;
    return summary;
}

run_offset load_runner::offset(base::time_point now) const
{
    return now - *m_start;
}

std::optional<base::time_point> load_runner::round(base::time_point now)
{
    if (!m_start || m_finished) {
        return std::nullopt;
    }
    const auto at = offset(now);
    cancel_timed_out(at);
    send_due_commands(at);
    send_retries(at);
    send_due(at);
    if (is_finished(at)) {
        m_finished = true;
        m_hooks.finished();
        return std::nullopt;
    }
    const auto next = next_event();
    if (!next) {
        return std::nullopt;
    }
    m_timer.wake_after(*m_start + *next - http::event_loop::now());
    return *m_start + *next;
}

void load_runner::send_due(run_offset now)
{
    while (!m_interrupted && m_schedule.peek() && m_schedule.peek()->due <= now) {
        start_request(*m_schedule.take(), offset(http::event_loop::now()));
    }
}

void load_runner::start_request(const arrival& request, run_offset now)
{
    m_statistics.due(request);
    if (m_open >= m_plan.max_outstanding) {
        m_statistics.ended(request, {result_class::withheld, {}}, now);
        return;
    }
    const auto& stream = m_plan.streams[request.stream.value()];
    auto outstanding = std::make_shared<outstanding_request>();
    outstanding->request = request;
    outstanding->target = m_plan.targets[m_next_target];
    m_next_target = (m_next_target + 1) % m_plan.targets.size();
    outstanding->retries_left = stream.retries;
    if (stream.non_idempotent) {
        outstanding->id = make_request_id(m_hooks.wall_clock(), m_hooks.random);
    }
    ++m_open;
    m_timeouts.push_back(outstanding);
    send_attempt(outstanding, now);
}

http::request_head load_runner::request_head_for(const outstanding_request& request) const
{
    const auto& stream = m_plan.streams[request.request.stream.value()];
    const auto& key = m_keys[request.request.stream.value()];
    http::request_head head;
    head.method = stream.method;
    head.target = stream.path;
    if (!key.value().empty()) {
        head.headers.add(text(http::header_names::key), key.value());
    }
    if (!stream.importance.empty()) {
        head.headers.add(text(http::header_names::importance), stream.importance);
    }
    if (!request.id.value().empty()) {
        head.headers.add(text(http::header_names::request_id), request.id.value());
    }
    return head;
}

void load_runner::send_attempt(const request_ptr& request, run_offset now)
{
    m_statistics.sent(request->request, now, !request->first_sent);
    request->first_sent = true;
    request->head.reset();
    http::client_request sent;
    sent.to = request->target;
    sent.head = request_head_for(*request);
    // If the server closes a reused connection while the request is being sent, it is unknown
    // whether a non-idempotent request ran.
    sent.fresh_connection = !request->id.value().empty();
    http::transfer::hooks hooks;
    hooks.on_head = [request](http::response_head head) { request->head = std::move(head); };
    hooks.on_body = [](std::string_view) { return true; };
    hooks.on_end = [this, request](const http::transfer_result& end) {
        attempt_ended(request, end);
    };
    request->attempt = m_client.send(std::move(sent), std::move(hooks));
}

void load_runner::send_retries(run_offset now)
{
    std::vector<request_ptr> ready;
    ready.swap(m_retries);
    for (const auto& request : ready) {
        if (!request->ended) {
            send_attempt(request, now);
        }
    }
}

void load_runner::attempt_ended(const request_ptr& request, const http::transfer_result& end)
{
    const auto now = offset(http::event_loop::now());
    request->attempt.reset();
    if (request->ended) {
        return;
    }
    // A response can arrive after the timeout but before the loop iteration that cancels the
    // request; it counts as timed out as well.
    const bool late = request->timed_out || now >= request->request.due + m_plan.timeout;
    const auto result = classify(end, request->head);
    m_statistics.attempt_ended(request->request, result);
    if (late) {
        this->end(request, {result_class::timed_out, {}}, now);
    }
    else if (is_refusal(result.kind) && request->retries_left > 0 && !m_interrupted) {
        --request->retries_left;
        m_retries.push_back(request);
    }
    else {
        this->end(request, result, now);
    }
}

void load_runner::end(const request_ptr& request, const request_result& result, run_offset now)
{
    request->ended = true;
    --m_open;
    m_statistics.ended(request->request, result, now);
}

void load_runner::cancel_timed_out(run_offset now)
{
    while (!m_timeouts.empty()) {
        const auto request = m_timeouts.front();
        if (!request->ended && request->request.due + m_plan.timeout > now) {
            return;
        }
        m_timeouts.pop_front();
        if (request->ended) {
            continue;
        }
        request->timed_out = true;
        if (request->attempt) {
            request->attempt->cancel();
        }
        if (!request->ended) {
            end(request, {result_class::timed_out, {}}, now);
        }
    }
}

void load_runner::send_due_commands(run_offset now)
{
    while (!m_commands.empty() && m_commands.front().at <= now) {
        send_command(m_commands.front());
        m_commands.pop_front();
    }
}

void load_runner::send_command(const command_settings& command)
{
    http::client_request sent;
    sent.to = command.target;
    sent.head.method = command.method;
    sent.head.target = command.path;
    sent.timeout = command_timeout;
    sent.fresh_connection = true;
    auto answer = std::make_shared<command_result>(command_result{command.name, command.at, 0});
    http::transfer::hooks hooks;
    hooks.on_head = [answer](const http::response_head& head) { answer->status = head.status; };
    hooks.on_body = [](std::string_view) { return true; };
    hooks.on_end = [this, answer](const http::transfer_result& end) {
        if (end.completion != http::transfer_result::kind::complete) {
            answer->status = 0;
        }
        --m_open_commands;
        m_statistics.command_ended(*answer);
    };
    ++m_open_commands;
    m_client.send(std::move(sent), std::move(hooks));
}

std::optional<run_offset> load_runner::next_event() const
{
    std::optional<run_offset> next;
    const auto consider = [&next](run_offset when) { next = next ? std::min(*next, when) : when; };
    if (!m_interrupted) {
        consider(m_schedule.peek() ? m_schedule.peek()->due : m_plan.duration);
    }
    if (!m_commands.empty()) {
        consider(m_commands.front().at);
    }
    if (!m_timeouts.empty()) {
        consider(m_timeouts.front()->request.due + m_plan.timeout);
    }
    return next;
}

bool load_runner::is_finished(run_offset now) const
{
    const bool all_sent = m_interrupted || (!m_schedule.peek() && now >= m_plan.duration);
    return all_sent && m_commands.empty() && m_open == 0 && m_open_commands == 0;
}

} // namespace damaskladder::load
