#include "daemon/traffic_frontend.hpp"

#include "daemon/content_hasher.hpp"
#include "daemon/importance_name.hpp"
#include "daemon/key_filter.hpp"
#include "daemon/load_field.hpp"
#include "daemon/log.hpp"
#include "daemon/outcome_name.hpp"
#include "daemon/own_dialect.hpp"
#include "daemon/pressure_field.hpp"
#include "http/header_names.hpp"
#include "settings/value_parsers.hpp"

#include <algorithm>
#include <charconv>

namespace damaskladder::daemon {

namespace {

constexpr std::size_t max_kept_answer = std::size_t{64} * 1024;
// A shorter key may occur in a field by chance, so only whole words are compared with it.
constexpr std::size_t min_searched_key_size = 8;
// Shorter words are not hashed, which bounds the cost of a request with many short words. They are
// compared with the key of the request.
constexpr std::size_t min_hashed_key_size = 4;
// Maximum interval between ticks while the traffic state machine has a pending deadline.
constexpr base::duration tick_interval = std::chrono::milliseconds(50);
constexpr base::duration connect_timeout = std::chrono::milliseconds(500);
// Connect timeout between nodes: fifty round trips within a region. An unreachable VM sends no
// reply, and the request must still reach another node before its deadline.
constexpr base::duration node_connect_timeout = std::chrono::milliseconds(150);
// Longer than two retransmissions after packet loss.
constexpr base::duration node_unacknowledged_timeout = std::chrono::milliseconds(700);

std::string name(std::string_view header)
{
    return std::string(header);
}

std::optional<base::retry_count> read_allowance(const http::header_list& headers)
{
    const auto* value = headers.find(http::header_names::allowance_left);
    if (value == nullptr) {
        return std::nullopt;
    }
    std::int32_t count = 0;
    const char* end = value->data() + value->size();
    const auto parsed = std::from_chars(value->data(), end, count);
    if (parsed.ec != std::errc() || parsed.ptr != end || count < 0) {
        return std::nullopt;
    }
    return base::retry_count(count);
}

std::optional<base::importance> read_shed(const http::header_list& headers)
{
    const auto* value = headers.find(http::header_names::shed);
    return value == nullptr ? std::nullopt : settings::parse_importance(*value);
}

// Enough to find the cause of a surge of refusals, at a few kilobytes of log per second.
constexpr std::int64_t backend_lines_per_second = 1;
constexpr std::int64_t refusal_lines_per_second = 10;

/// Returns text from a caller truncated, and with all characters replaced that could break the
/// format of a log line.
std::string sanitize_for_log(const std::string& text)
{
    constexpr std::size_t max_length = 64;
    std::string safe = text.substr(0, max_length);
    std::replace_if(
        safe.begin(), safe.end(), [](char c) { return c <= ' ' || c >= '\x7f' || c == '"'; }, '?');
    return safe;
}

node::response_class classify(int status)
{
    constexpr int too_many_requests = 429;
    constexpr int service_unavailable = 503;
    constexpr int first_server_error = 500;
    if (status == too_many_requests || status == service_unavailable) {
        return node::response_class::overloaded;
    }
    return status >= first_server_error ? node::response_class::failed
                                        : node::response_class::served;
}

/// Returns the headers without hop-by-hop fields and the system's own fields.
http::header_list end_to_end(http::header_list headers)
{
    headers.remove_hop_by_hop();
    headers.remove_prefix(http::header_names::prefix);
    return headers;
}

/// Adds the fields with which a gatekeeper reports its state to another node.
template <class Answer>
void add_node_fields(http::header_list& headers, const Answer& answer)
{
    const auto& allowance = answer.allowance_left;
    const auto& shed = answer.shed;
    if (answer.load) {
        headers.add(name(http::header_names::load), load_field(*answer.load));
    }
    if (answer.pressure) {
        headers.add(name(http::header_names::pressure), write_pressure(*answer.pressure));
    }
    if (allowance) {
        headers.add(name(http::header_names::allowance_left), std::to_string(allowance->value()));
    }
    if (shed) {
        headers.add(name(http::header_names::shed), std::string(to_string(*shed)));
    }
}

http::server_limits one_at_a_time(http::server_limits limits)
{
    limits.requests_ahead = 1;
    return limits;
}

std::vector<node::exchange_id> exchange_ids(const std::vector<std::uint64_t>& tags)
{
    return {tags.begin(), tags.end()};
}

/// Fills in what the exchange tells about the connection of its request.
template <class Arrival>
void add_position(Arrival& event, const http::exchange& exchange, base::time_point now)
{
    if (exchange.ahead() > 0) {
        event.ahead = exchange_ids(exchange.tags_ahead());
    }
    event.waited = now - exchange.received_at();
}

/// Builds the response head of a refusal between nodes.
http::response_head refusal_for_node(const node::refuse& wanted)
{
    static const auto own = own_dialect();
    return own.refusal(wanted);
}

} // namespace

traffic_frontend::traffic_frontend(http::event_loop& loop, const wire::cluster_secret& secret,
                                   base::incarnation incarnation, http::server_limits limits,
                                   dialect http_dialect, traffic_logic logic, traffic_hooks hooks)
    : m_loop(loop),
      m_dialect(std::move(http_dialect)),
      m_contexts(secret),
      m_keys(secret, wire::key_usage::key_hashes),
      m_incarnation(incarnation),
      m_limits(limits),
      m_logic(std::move(logic)),
      m_hooks(std::move(hooks)),
      m_refusal_log_limiter(refusal_lines_per_second),
      m_backend_log_limiter(backend_lines_per_second),
      m_client(loop),
      m_callers(loop, limits, [this](const auto& e) { on_request(e, inbound_listener::caller); }),
      m_peers(loop, one_at_a_time(limits),
              [this](const auto& e) { on_request(e, inbound_listener::peer); }),
      m_backend_servers(loop, limits,
                        [this](const auto& e) { on_request(e, inbound_listener::backend_server); }),
      m_ready(loop, {}, [this](const auto& e) { m_hooks.local_api(e); })
{
    m_loop.each_round([this](base::time_point now) { return round(now); });
}

base::result<void> traffic_frontend::listen(const traffic_addresses& addresses)
{
    BOOST_LEAF_CHECK(m_peers.listen(addresses.peers));
    BOOST_LEAF_CHECK(m_backend_servers.listen(addresses.backend_server));
    if (addresses.ready) {
        BOOST_LEAF_CHECK(m_ready.listen(*addresses.ready));
    }
    return m_callers.listen(addresses.callers);
}

void traffic_frontend::stop()
{
    m_stopping = true;
    m_callers.drain();
    deliver(node::stop_requested{});
}

bool traffic_frontend::stopped() const
{
    return idle() && m_callers.open_exchanges() == 0 && m_peers.open_exchanges() == 0 &&
           m_backend_servers.open_exchanges() == 0;
}

std::optional<base::time_point> traffic_frontend::round(base::time_point now)
{
    const auto deadline = m_logic.next_deadline();
    if (!deadline) {
        return std::nullopt;
    }
    if (now >= *deadline || now >= m_last_tick + tick_interval) {
        m_last_tick = now;
        deliver(node::tick{});
    }
    const auto next = m_logic.next_deadline();
    return next ? std::optional(std::min(*next, m_last_tick + tick_interval)) : std::nullopt;
}

void traffic_frontend::deliver(node::event new_event)
{
    m_pending.push_back(std::move(new_event));
    if (m_handling || !m_view) {
        return;
    }
    m_handling = true;
    std::vector<node::effect> effects;
    for (std::size_t next = 0; next < m_pending.size(); ++next) {
        const auto event = std::move(m_pending[next]);
        const auto view = m_view;
        effects.clear();
        m_logic.handle(event, *view->node, http::event_loop::now(), effects);
        for (const auto& wanted : effects) {
            std::visit([this](const auto& effect) { perform(effect); }, wanted);
        }
    }
    m_pending.clear();
    m_handling = false;
}

void traffic_frontend::on_request(const std::shared_ptr<http::exchange>& exchange,
                                  inbound_listener listener)
{
    const auto& head = exchange->head();
    if (listener == inbound_listener::backend_server && m_dialect.is_local_call(head)) {
        m_hooks.local_api(exchange);
        return;
    }
    const auto request = std::make_shared<inbound_request>();
    request->id = node::exchange_id(++m_last_exchange);
    request->listener = listener;
    request->exchange = exchange;
    request->arrived_at = http::event_loop::now();
    request->forwarded = end_to_end(head.headers);
    if (listener != inbound_listener::peer) {
        m_dialect.remove_system_fields(request->forwarded);
    }
    m_inbound[request->id] = request;
    const auto id = request->id;
    exchange->on_disconnect([this, id] {
        if (const auto gone = find(id)) {
            end(id);
            if (gone->submitted) {
                deliver(node::caller_disconnected{id});
            }
        }
    });
    exchange->set_tag(id.value());
    if (exchange->ahead() > 0) {
        exchange->on_turn([this, id] { on_turn(id); });
    }
    const bool has_body = !head.body_size || head.body_size->value() > 0;
    if (has_body) {
        exchange->on_body([this, id] {
            if (const auto receiving = find(id)) {
                on_request_body(receiving);
            }
        });
    }
    if (!has_body || listener == inbound_listener::peer) {
        request->body_kept = !has_body;
        submit(request);
    }
}

void traffic_frontend::on_request_body(const inbound_ptr& request)
{
    if (request->submitted) {
        if (request->reader) {
            if (const auto out = find(*request->reader)) {
                out->transfer->resume();
            }
        }
        return;
    }
    const auto& exchange = *request->exchange;
    const auto limit = static_cast<std::size_t>(m_limits.buffer_size.value());
    if (exchange.body_complete()) {
        request->body_kept = true;
        submit(request);
    }
    else if (exchange.body().size() >= limit) {
        submit(request);
    }
}

void traffic_frontend::submit(const inbound_ptr& request)
{
    request->submitted = true;
    if (request->listener == inbound_listener::peer) {
        submit_peer(request);
    }
    else {
        submit_caller(request);
    }
}

void traffic_frontend::submit_caller(const inbound_ptr& request)
{
    const auto& head = request->exchange->head();
    base::handle_failure(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(parsed, m_dialect.read_request(head));
            remove_keys(parsed, request->forwarded);
            if (parsed.request && parsed.retries_share_id) {
                request->content = hash_content(head, request->exchange->body());
            }
            if (parsed.context && request->listener == inbound_listener::backend_server) {
                submit_onward(request, parsed);
                return {};
            }
            request->request = parsed.request.value_or(base::request_id());
            node::request_arrived event;
            event.exchange = request->id;
            event.path = parsed.path;
            event.host = parsed.host;
            event.origin = m_hooks.own_service ? m_hooks.own_service() : base::service_id();
            if (parsed.key) {
                event.key = m_keys.hash(*parsed.key);
            }
            event.request = parsed.request;
            event.constraints = parsed.caller_constraints;
            event.body_size = head.body_size;
            event.content = request->content;
            event.body_can_be_resent = request->body_kept;
            add_position(event, *request->exchange, m_loop.woken_at());
            deliver(std::move(event));
            return {};
        },
        [&](const base::failure& error) { refuse_malformed(request, error); });
}

void traffic_frontend::remove_keys(const parsed_request& parsed, http::header_list& headers)
{
    if (parsed.key && parsed.key->size() >= min_searched_key_size) {
        headers.remove_if([&](const http::header& field) {
            return field.value.find(*parsed.key) != std::string::npos;
        });
    }
    m_plain_words.use_settings(m_view->node->settings_version);
    remove_fields_with_keys(
        headers, [&](std::string_view text) { return text == parsed.key || is_key(text); });
}

bool traffic_frontend::is_key(std::string_view text)
{
    if (text.size() < min_hashed_key_size || m_plain_words.contains(text)) {
        return false;
    }
    if (m_view->node->find_key(m_keys.hash(text)) != nullptr) {
        return true;
    }
    m_plain_words.add(text);
    return false;
}

void traffic_frontend::submit_onward(const inbound_ptr& request, const parsed_request& parsed)
{
    base::handle_failure(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(sealed, m_contexts.open(*parsed.context));
            if (sealed.purpose != wire::context_purpose::backend_server ||
                sealed.receiver != m_view->node->self ||
                sealed.issuer_incarnation != m_incarnation ||
                sealed.expires_at <= http::event_loop::now()) {
                return base::fail(base::failure_kind::permission_denied, "open request context", {},
                                  "the context is not of a call that runs on this node");
            }
            node::onward_call_arrived event;
            event.exchange = request->id;
            event.path = parsed.path;
            event.parent = sealed.call;
            event.request = parsed.request;
            event.constraints = parsed.caller_constraints;
            event.body_size = request->exchange->head().body_size;
            event.content = request->content;
            event.body_can_be_resent = request->body_kept;
            add_position(event, *request->exchange, m_loop.woken_at());
            deliver(std::move(event));
            return {};
        },
        [&](const base::failure& error) { refuse_malformed(request, error); });
}

void traffic_frontend::submit_peer(const inbound_ptr& request)
{
    const auto& head = request->exchange->head();
    base::handle_failure(
        [&]() -> base::result<void> {
            const auto* text = head.headers.find(http::header_names::context);
            const auto* service = head.headers.find(http::header_names::service);
            if (text == nullptr || service == nullptr) {
                return base::fail(base::failure_kind::permission_denied, "receive call", {},
                                  "a call between nodes carries a context and a service");
            }
            BOOST_LEAF_AUTO(sealed, m_contexts.open(*text));
            if (sealed.purpose != wire::context_purpose::gatekeeper || !m_view ||
                sealed.receiver != m_view->node->self) {
                return base::fail(base::failure_kind::permission_denied, "receive call",
                                  sealed.call.issuer.value(),
                                  "the context is not for this node's gatekeeper");
            }
            node::call_arrived event;
            event.exchange = request->id;
            event.service = base::service_id(*service);
            event.context = sealed.call;
            event.body_size = head.body_size;
            if (!sealed.content.value().empty()) {
                event.content = sealed.content;
            }
            deliver(std::move(event));
            return {};
        },
        [&](const base::failure& error) { refuse_malformed(request, error); });
}

http::response_head traffic_frontend::refusal_head(const inbound_request& request,
                                                   const node::refuse& refusal) const
{
    return request.listener == inbound_listener::peer ? refusal_for_node(refusal)
                                                      : m_dialect.refusal(refusal);
}

void traffic_frontend::refuse_malformed(const inbound_ptr& request, const base::failure& error)
{
    constexpr node::status_code forbidden(403);
    node::refuse refusal;
    refusal.exchange = request->id;
    refusal.reported_outcome = node::outcome::not_run;
    refusal.reason = node::refusal_reason::bad_request;
    refusal.status = error.kind == base::failure_kind::permission_denied
                         ? forbidden
                         : node::status_of(refusal.reason);
    auto head = refusal_head(*request, refusal);
    request->exchange->respond(std::move(head), error.text + "\n");
    m_metrics.refused(node::refusal_reason::bad_request, node::outcome::not_run);
    end(request->id);
}

void traffic_frontend::on_turn(node::exchange_id id)
{
    const auto request = find(id);
    if (request && request->submitted) {
        deliver(node::turn_reached{id, exchange_ids(request->exchange->tags_behind())});
    }
}

std::string traffic_frontend::metrics_text() const
{
    return m_metrics.text({m_callers.waiting_requests() + m_backend_servers.waiting_requests(),
                           m_callers.waiting_bytes() + m_backend_servers.waiting_bytes()});
}

void traffic_frontend::end(node::exchange_id id)
{
    const auto found = m_inbound.find(id);
    if (found != m_inbound.end()) {
        m_metrics.request_ended(http::event_loop::now() - found->second->arrived_at);
        m_inbound.erase(found);
        // Deferred, because a later effect of the same event may return the token.
        m_loop.post([this, id] { m_hooks.exchange_ended(id); });
    }
}

traffic_frontend::inbound_ptr traffic_frontend::find(node::exchange_id id) const
{
    const auto found = m_inbound.find(id);
    return found == m_inbound.end() ? nullptr : found->second;
}

traffic_frontend::outbound_ptr traffic_frontend::find(node::transfer_id id) const
{
    const auto found = m_outbound.find(id);
    return found == m_outbound.end() ? nullptr : found->second;
}

void traffic_frontend::perform(const node::forward_to_gatekeeper& wanted)
{
    const auto request = find(wanted.exchange);
    const auto address = m_view->gatekeepers.find(wanted.gatekeeper);
    if (!request || address == m_view->gatekeepers.end()) {
        deliver(node::connect_failed{wanted.transfer});
        return;
    }
    wire::sealed_context sealed;
    sealed.purpose = wire::context_purpose::gatekeeper;
    sealed.call = wanted.context;
    sealed.receiver = wanted.gatekeeper;
    sealed.content = request->content.value_or(base::content_hash());
    http::client_request call;
    call.to = address->second;
    call.head.headers = request->forwarded;
    call.head.headers.add(name(http::header_names::context), m_contexts.seal(sealed));
    call.head.headers.add(name(http::header_names::service), wanted.service.value());
    // On a reused connection that the peer closes concurrently, the outcome of the request would be
    // unknown.
    call.fresh_connection = !wanted.context.idempotent;
    const auto out = std::make_shared<outbound_request>();
    out->id = wanted.transfer;
    out->exchange = wanted.exchange;
    out->to_gatekeeper = true;
    m_metrics.call_forwarded();
    send(request, out, std::move(call));
}

void traffic_frontend::perform(const node::start_at_backend_server& wanted)
{
    const auto request = find(wanted.exchange);
    const auto address = m_view->local.find(wanted.service);
    if (!request || address == m_view->local.end()) {
        deliver(node::connect_failed{wanted.transfer});
        return;
    }
    const auto* server = m_view->node->find_local(wanted.service);
    const auto seal = [this, &wanted] {
        wire::sealed_context sealed;
        sealed.purpose = wire::context_purpose::backend_server;
        sealed.call = wanted.context;
        sealed.receiver = m_view->node->self;
        sealed.issuer_incarnation = m_incarnation;
        sealed.expires_at = wanted.deadline;
        return m_contexts.seal(sealed);
    };
    http::client_request call;
    call.to = address->second;
    call.head.headers = request->forwarded;
    m_dialect.address_backend_server(call.head.headers,
                                     {wanted.context,
                                      server == nullptr ? base::instance_id() : server->instance,
                                      wanted.deadline - http::event_loop::now(), seal});
    call.fresh_connection = wanted.fresh_connection;
    const auto out = std::make_shared<outbound_request>();
    out->id = wanted.transfer;
    out->exchange = wanted.exchange;
    out->service = wanted.service;
    out->instance = server == nullptr ? base::instance_id() : server->instance;
    m_metrics.run_started();
    send(request, out, std::move(call));
}

void traffic_frontend::send(const inbound_ptr& request, const outbound_ptr& out,
                            http::client_request call)
{
    const auto& head = request->exchange->head();
    call.head.method = head.method;
    call.head.target = head.target;
    call.head.body_size = head.body_size;
    if (request->body_kept) {
        const auto size = static_cast<std::int64_t>(request->exchange->body().size());
        call.head.body_size = base::byte_count(size);
    }
    call.connect_timeout = out->to_gatekeeper ? node_connect_timeout : connect_timeout;
    if (out->to_gatekeeper) {
        call.unacknowledged_timeout = node_unacknowledged_timeout;
    }
    request->reader = out->id;
    m_outbound[out->id] = out;
    http::transfer::hooks hooks;
    hooks.on_connected = [this, id = out->id] { deliver(node::transfer_connected{id}); };
    hooks.on_head = [this, out](http::response_head answer) {
        on_response_head(out, std::move(answer));
    };
    hooks.on_body = [this, out](std::string_view data) { return on_response_body(out, data); };
    hooks.read_body = [this, request, out](char* data, std::size_t size) {
        return read_body(*request, *out, data, size);
    };
    hooks.body_pending = [request] {
        return !request->body_kept && !request->exchange->body_complete();
    };
    hooks.on_end = [this, out](const http::transfer_result& how) { on_transfer_end(out, how); };
    out->transfer = m_client.send(std::move(call), std::move(hooks));
}

std::size_t traffic_frontend::read_body(inbound_request& request, outbound_request& out, char* data,
                                        std::size_t size) const
{
    auto& exchange = *request.exchange;
    if (request.body_kept) {
        const auto taken = exchange.body().copy(data, size, out.body_position);
        out.body_position += taken;
        return taken;
    }
    if (request.reader != out.id) {
        return 0;
    }
    const auto taken = exchange.body().copy(data, size);
    exchange.consume_body(taken);
    return taken;
}

void traffic_frontend::on_response_head(const outbound_ptr& out, http::response_head head)
{
    out->head = std::move(head);
    if (out->settled) {
        return;
    }
    if (out->to_gatekeeper && out->head->headers.find(http::header_names::outcome) != nullptr) {
        on_gatekeeper_refusal(out);
        return;
    }
    if (!out->to_gatekeeper && !accept_response(out)) {
        return;
    }
    node::response_started event;
    event.transfer = out->id;
    event.response = classify(out->head->status);
    if (out->to_gatekeeper) {
        event.allowance_left = read_allowance(out->head->headers);
        event.shed = read_shed(out->head->headers);
        event.load = read_load(out->head->headers);
        event.pressure = read_pressure(out->head->headers.find(http::header_names::pressure));
    }
    deliver(event);
}

bool traffic_frontend::accept_response(const outbound_ptr& out)
{
    const auto request = find(out->exchange);
    if (!request) {
        return true;
    }
    const auto verdict = m_dialect.check_response(request->exchange->head(), *out->head);
    if (verdict != response_verdict::mismatched) {
        report_backend_state(*out);
    }
    switch (verdict) {
    case response_verdict::matches:
        return true;
    case response_verdict::not_run:
        out->settled = true;
        deliver(node::backend_refused{out->id});
        return false;
    case response_verdict::mismatched:
        break;
    }
    log(log_level::warn, "answer_foreign",
        {{"target", sanitize_for_log(request->exchange->head().target)},
         {"status", std::to_string(out->head->status)}});
    out->settled = true;
    m_outbound.erase(out->id);
    // The connection may still carry the matching response or further mismatched ones, so it is
    // closed and not reused.
    out->transfer->cancel();
    deliver(node::transfer_failed{out->id});
    return false;
}

void traffic_frontend::report_backend_state(const outbound_request& out)
{
    const auto state = m_dialect.read_backend_state(*out.head);
    const bool news = state && (state->rate || !state->rate_problem.empty() || state->leaving);
    if (!state || (!news && !m_rate_reported)) {
        return;
    }
    m_rate_reported = state->rate || (m_rate_reported && !state->rate_problem.empty());
    if (!state->rate_problem.empty() && m_backend_log_limiter.take(http::event_loop::now())) {
        log(log_level::warn, "backend_rate_unreadable",
            {{"service", out.service.value()},
             {"instance", sanitize_for_log(out.instance.value())},
             {"expected", state->rate_problem},
             {"suppressed", std::to_string(m_backend_log_limiter.take_suppressed())}});
    }
    if (state->leaving && out.instance != m_leaving_run) {
        m_leaving_run = out.instance;
        log(log_level::info, "backend_leaving",
            {{"service", out.service.value()},
             {"instance", sanitize_for_log(out.instance.value())}});
        m_hooks.backend_leaving(out.instance);
    }
    deliver(node::backend_state_reported{out.service, out.instance, state->rate,
                                         state->rate_problem.empty(), state->leaving});
}

void traffic_frontend::on_gatekeeper_refusal(const outbound_ptr& out)
{
    const auto& headers = out->head->headers;
    node::gatekeeper_refused event;
    event.transfer = out->id;
    const auto* reported = headers.find(http::header_names::outcome);
    event.reported_outcome = *reported == to_string(node::outcome::not_run)
                                 ? node::outcome::not_run
                                 : node::outcome::unknown;
    if (const auto* reason = headers.find(http::header_names::reason)) {
        event.reason =
            node::parse_refusal_reason(*reason).value_or(node::refusal_reason::backend_failed);
    }
    event.allowance_left = read_allowance(headers);
    event.shed = read_shed(headers);
    event.load = read_load(headers);
    event.pressure = read_pressure(headers.find(http::header_names::pressure));
    out->settled = true;
    deliver(event);
}

void traffic_frontend::perform(const node::relay_response& wanted)
{
    const auto request = find(wanted.exchange);
    const auto out = find(wanted.transfer);
    if (!request || !out || !out->head) {
        return;
    }
    http::response_head answer;
    answer.status = out->head->status;
    answer.headers = end_to_end(std::move(out->head->headers));
    answer.body_size = out->head->body_size;
    if (wanted.keep_copy) {
        out->copy = std::make_shared<node::kept_answer>();
        out->copy->status = node::status_code(static_cast<std::uint16_t>(answer.status));
        for (const auto& field : answer.headers) {
            out->copy->headers += field.name + ": " + field.value + "\n";
        }
    }
    add_node_fields(answer.headers, wanted);
    request->exchange->on_writable([this, id = out->id] {
        if (const auto relayed = find(id)) {
            relayed->transfer->resume();
        }
    });
    request->exchange->start(answer);
    out->relaying = true;
    // Resumes the body bytes that were held back until this effect was performed.
    out->transfer->resume();
}

bool traffic_frontend::on_response_body(const outbound_ptr& out, std::string_view data)
{
    if (out->settled) {
        return true;
    }
    const auto request = find(out->exchange);
    if (!out->relaying || (request && !request->exchange->writable())) {
        return false;
    }
    if (!request) {
        return true;
    }
    if (out->copy) {
        if (out->copy->body.size() + data.size() <= max_kept_answer) {
            out->copy->body += data;
        }
        else {
            out->copy.reset();
        }
    }
    request->exchange->write(data);
    return true;
}

void traffic_frontend::on_transfer_end(const outbound_ptr& out, const http::transfer_result& how)
{
    m_outbound.erase(out->id);
    if (out->settled) {
        return;
    }
    out->settled = true;
    switch (how.completion) {
    case http::transfer_result::kind::complete:
        if (!out->relaying) {
            deliver(node::transfer_failed{out->id});
            return;
        }
        if (const auto request = find(out->exchange)) {
            request->exchange->finish();
            end(out->exchange);
        }
        deliver(node::response_finished{out->id, out->copy});
        return;
    case http::transfer_result::kind::not_sent:
        deliver(node::connect_failed{out->id});
        return;
    case http::transfer_result::kind::broken:
    case http::transfer_result::kind::cancelled:
        deliver(node::transfer_failed{out->id});
        return;
    }
}

void traffic_frontend::perform(const node::refuse& wanted)
{
    const auto request = find(wanted.exchange);
    if (!request) {
        return;
    }
    auto head = refusal_head(*request, wanted);
    if (request->listener == inbound_listener::peer) {
        add_node_fields(head.headers, wanted);
    }
    m_metrics.refused(wanted.reason, wanted.reported_outcome);
    log_refusal(*request, wanted);
    request->exchange->respond(
        std::move(head), "request refused (" + std::string(to_string(wanted.reason)) +
                             "), outcome: " + std::string(to_string(wanted.reported_outcome)) +
                             "\n");
    end(wanted.exchange);
}

void traffic_frontend::log_refusal(const inbound_request& request, const node::refuse& refusal)
{
    const auto now = http::event_loop::now();
    if (!m_refusal_log_limiter.take(now)) {
        return;
    }
    const auto held =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - request.arrived_at);
    const auto settings_age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - m_view->node->settings_confirmed_at);
    log(log_level::info, "request_refused",
        {{"request", sanitize_for_log(request.request.value())},
         {"side", request.listener == inbound_listener::peer ? "gatekeeper" : "entry"},
         {"reason", std::string(to_string(refusal.reason))},
         {"outcome", std::string(to_string(refusal.reported_outcome))},
         {"service", refusal.service.value()},
         {"gatekeeper", refusal.gatekeeper.value()},
         {"attempts", std::to_string(refusal.attempts)},
         {"held_ms", std::to_string(held.count())},
         {"settings", std::to_string(m_view->node->settings_version.value())},
         {"settings_age_ms", std::to_string(settings_age.count())},
         {"suppressed", std::to_string(m_refusal_log_limiter.take_suppressed())}});
}

void traffic_frontend::perform(const node::replay_response& wanted)
{
    const auto request = find(wanted.exchange);
    if (!request) {
        return;
    }
    http::response_head head;
    head.status = wanted.response->status.value();
    std::string_view rest = wanted.response->headers;
    while (!rest.empty()) {
        const auto line = rest.substr(0, rest.find('\n'));
        rest.remove_prefix(line.size() + 1);
        const auto colon = line.find(": ");
        head.headers.add(std::string(line.substr(0, colon)), std::string(line.substr(colon + 2)));
    }
    request->exchange->respond(std::move(head), wanted.response->body);
    end(wanted.exchange);
}

void traffic_frontend::perform(const node::abort_response& wanted)
{
    if (const auto request = find(wanted.exchange)) {
        request->exchange->abort();
        end(wanted.exchange);
    }
}

void traffic_frontend::perform(const node::cancel_transfer& wanted)
{
    if (const auto out = find(wanted.transfer)) {
        out->settled = true;
        m_outbound.erase(wanted.transfer);
        out->transfer->cancel();
    }
}

} // namespace damaskladder::daemon
