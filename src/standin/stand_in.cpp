#include "standin/stand_in.hpp"

#include <nlohmann/json.hpp>

#include <cstdlib>

namespace damaskladder::standin {

namespace {

constexpr std::string_view context_header = "Damaskladder-Context";
constexpr std::string_view request_id_header = "Idempotency-Key";

std::string_view query_parameter(std::string_view target, std::string_view name)
{
    const auto query = target.find('?');
    if (query == std::string_view::npos) {
        return {};
    }
    const auto rest = target.substr(query + 1);
    if (rest.substr(0, name.size()) != name || rest.substr(name.size(), 1) != "=") {
        return {};
    }
    return rest.substr(name.size() + 1);
}

} // namespace

stand_in::stand_in(http::event_loop& loop, standin_options options)
    : m_loop(loop),
      m_options(std::move(options)),
      m_client(loop),
      m_server(loop, {},
               [this](const std::shared_ptr<http::exchange>& exchange) { on_request(exchange); }),
      m_announcer(loop, m_client, m_options),
      m_random(m_options.seed)
{
}

base::result<void> stand_in::start()
{
    BOOST_LEAF_CHECK(m_server.listen(m_options.listen));
    m_cold_until = http::event_loop::now() + m_options.cold_time;
    m_announcer.start(m_server.port(), is_cold());
    if (is_cold()) {
        m_loop.call_at(m_cold_until, [this] { m_announcer.set_cold(false); });
    }
    return {};
}

void stand_in::stop()
{
    m_stopping = true;
    m_announcer.withdraw();
}

bool stand_in::is_cold() const
{
    return http::event_loop::now() < m_cold_until;
}

void stand_in::on_request(const std::shared_ptr<http::exchange>& exchange)
{
    if (exchange->head().target.substr(0, 3) == "/-/") {
        handle_control_request(*exchange);
        return;
    }
    exchange->on_body([raw = exchange.get()] { raw->consume_body(raw->body().size()); });
    const auto waiting = m_waiting.size();
    if (m_options.shed_above_waiting != 0 && waiting >= m_options.shed_above_waiting) {
        ++m_shed;
        exchange->respond({.status = 503, .headers = {}, .body_size = {}}, "shed\n");
        return;
    }
    auto next = std::make_shared<running_request>();
    next->exchange = exchange;
    ++m_open_requests;
    exchange->on_disconnect([this, next] {
        ++m_cancelled;
        release(next);
    });
    m_waiting.push_back(next);
    start_waiting_requests();
}

void stand_in::handle_control_request(http::exchange& exchange)
{
    const auto& head = exchange.head();
    const std::string_view target = head.target;
    const auto path = target.substr(0, target.find('?'));
    if (path == "/-/runs" && head.method == "GET") {
        exchange.respond({}, control_report(target));
        return;
    }
    if (path == "/-/slow" && head.method == "PUT") {
        const double factor = std::atof(std::string(query_parameter(target, "factor")).c_str());
        m_slow_factor = factor > 0 ? factor : 1;
    }
    else if (path == "/-/drain" && head.method == "PUT") {
        m_announcer.drain();
    }
    else if (path == "/-/announce" && head.method == "DELETE") {
        m_announcer.withdraw();
    }
    else {
        exchange.respond({.status = 404, .headers = {}, .body_size = {}}, "no such command\n");
        return;
    }
    exchange.respond({}, "done\n");
}

std::string stand_in::control_report(std::string_view target) const
{
    const auto id = query_parameter(target, "id");
    if (!id.empty()) {
        return std::to_string(m_runs.runs_of(base::request_id(std::string(id)))) + "\n";
    }
    const nlohmann::json counts = {
        {"runs", m_runs.runs()}, {"duplicates", m_runs.duplicates()}, {"cancelled", m_cancelled},
        {"shed", m_shed},        {"waiting", m_waiting.size()},       {"running", m_running}};
    return counts.dump() + "\n";
}

void stand_in::start_waiting_requests()
{
    while (m_running < m_options.slots.value() && !m_waiting.empty()) {
        const auto next = m_waiting.front();
        m_waiting.pop_front();
        if (!next->ended) {
            start_processing(next);
        }
    }
}

void stand_in::start_processing(const request& next)
{
    next->running = true;
    ++m_running;
    const auto* id = next->exchange->head().headers.find(request_id_header);
    m_runs.count(base::request_id(id != nullptr ? *id : std::string()));
    double factor = m_slow_factor;
    if (is_cold()) {
        factor *= m_options.cold_factor;
    }
    const auto sampled = m_options.time.sample([this] { return m_random(); });
    const base::duration time(
        static_cast<std::int64_t>(static_cast<double>(sampled.count()) * factor));
    m_loop.call_at(http::event_loop::now() + time, [this, next] { call_onward(next); });
}

void stand_in::call_onward(const request& current)
{
    if (current->ended) {
        return;
    }
    if (current->next_onward >= m_options.onward_calls.size() || !m_options.node) {
        finish(current);
        return;
    }
    http::client_request call;
    call.to = *m_options.node;
    call.head.target = m_options.onward_calls[current->next_onward++];
    const auto* context = current->exchange->head().headers.find(context_header);
    if (context != nullptr) {
        call.head.headers.add(std::string(context_header), *context);
    }
    http::transfer::hooks hooks;
    const auto status = std::make_shared<int>(0);
    hooks.on_head = [status](const http::response_head& head) { *status = head.status; };
    hooks.on_end = [this, current, status](const http::transfer_result& end) {
        current->onward.reset();
        if (current->ended) {
            return;
        }
        constexpr int first_error_status = 400;
        if (end.completion != http::transfer_result::kind::complete ||
            *status >= first_error_status) {
            current->exchange->respond({.status = 502, .headers = {}, .body_size = {}},
                                       "onward call failed\n");
            release(current);
            return;
        }
        call_onward(current);
    };
    current->onward = m_client.send(std::move(call), std::move(hooks));
}

void stand_in::finish(const request& current)
{
    const auto every = m_options.close_after_run_every;
    if (every != 0 && m_runs.runs() % every == 0) {
        current->exchange->abort();
    }
    else {
        const auto size = static_cast<std::size_t>(m_options.answer_size.value());
        current->exchange->respond({}, std::string(size, 'x'));
    }
    release(current);
}

void stand_in::release(const request& current)
{
    if (current->ended) {
        return;
    }
    current->ended = true;
    --m_open_requests;
    if (current->onward) {
        const auto onward = std::move(current->onward);
        onward->cancel();
    }
    if (current->running) {
        --m_running;
        start_waiting_requests();
    }
}

} // namespace damaskladder::standin
