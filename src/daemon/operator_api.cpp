#include "daemon/operator_api.hpp"

#include "control/digest.hpp"
#include "daemon/log.hpp"
#include "daemon/operator_answer.hpp"
#include "daemon/operator_command.hpp"
#include "daemon/operator_query.hpp"
#include "daemon/secure_random.hpp"
#include "daemon/wall_clock_now.hpp"

namespace damaskladder::daemon {

namespace {

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr int ok = 200;
constexpr int temporary_redirect = 307;
constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int forbidden = 403;
constexpr int not_found = 404;
constexpr int conflict = 409;
constexpr int precondition_failed = 412;
constexpr int unavailable = 503;
// Large enough for a subtree as INI text escaped as JSON.
constexpr base::byte_count max_command_body{4 * 1024 * 1024};
constexpr base::byte_count max_bodies_in_progress{8 * max_command_body.value()};

http::server_limits operator_limits()
{
    http::server_limits limits;
    limits.max_connections = 200;
    limits.buffer_size = max_command_body;
    return limits;
}

void respond(http::exchange& exchange, int status, std::string_view body)
{
    http::response_head head;
    head.status = status;
    exchange.respond(std::move(head), body);
}

void respond_json(http::exchange& exchange, int status, std::string_view body)
{
    http::response_head head;
    head.status = status;
    head.headers.add("Content-Type", "application/json");
    exchange.respond(std::move(head), body);
}

/// Subtree that is replaced by a settings document.
settings::setting_path document_subtree()
{
    return settings::setting_path::parse("teams/main").value_or(settings::setting_path());
}

/// Derived from the content, so that a resent document has the same change id on every replica.
base::change_id document_change_id(const control::document_change& change)
{
    // Half of the digest fits into the maximum length of a change id.
    constexpr std::size_t id_hex_digits = 32;
    const auto text = std::to_string(change.based_on.value()) + "/" + change.document.text;
    return base::change_id("document-" +
                           control::to_hex(control::digest_of(text)).substr(0, id_hex_digits));
}

base::change_id evacuation_change_id(const base::random_source& random)
{
    return base::change_id("evacuation-" + std::to_string(random()) + "-" +
                           std::to_string(random()));
}

std::string first_problem(const control::change_reply& reply)
{
    return reply.problems.empty() ? std::string() : to_string(reply.problems.front());
}

int status_of(control::change_verdict verdict)
{
    switch (verdict) {
    case control::change_verdict::accepted:
    case control::change_verdict::unchanged:
        return ok;
    case control::change_verdict::conflict:
        return precondition_failed;
    case control::change_verdict::not_found:
        return not_found;
    case control::change_verdict::last_domain:
        return conflict;
    case control::change_verdict::permission_denied:
        // The author is the first admin, which is created only after the cluster has formed.
        return unavailable;
    default:
        return bad_request;
    }
}

void respond_failure(http::exchange& exchange, const base::failure& error)
{
    const auto status = error.kind == base::failure_kind::not_found           ? not_found
                        : error.kind == base::failure_kind::permission_denied ? forbidden
                                                                              : bad_request;
    respond(exchange, status, error.text + "\n");
}

} // namespace

operator_api::operator_api(http::event_loop& loop, replica_host& host,
                           const wire::cluster_secret& secret, const process_settings& settings,
                           const dialect& http_dialect)
    : m_host(host),
      m_settings(settings),
      m_dialect(http_dialect),
      m_tokens(secret, wire::key_usage::tokens),
      m_random(secure_random()),
      m_bodies(max_bodies_in_progress),
      m_server(loop, operator_limits(), [this](const exchange_ptr& e) { on_request(e); })
{
}

void operator_api::on_request(const exchange_ptr& exchange)
{
    const auto& size = exchange->head().body_size;
    if (size && size->value() == 0) {
        return run_document_call(exchange, m_dialect.read_operator_call(exchange->head(), {}));
    }
    exchange->on_disconnect([this, raw = exchange.get()] { m_bodies.release(raw); });
    exchange->on_body([this, raw = exchange.get()] {
        if (raw->body_complete()) {
            m_bodies.release(raw);
            run_document_call(raw->shared_from_this(),
                              m_dialect.read_operator_call(raw->head(), raw->body()));
        }
        else if (raw->body().size() >= static_cast<std::size_t>(max_command_body.value())) {
            m_bodies.release(raw);
            respond(*raw, bad_request, "the command is longer than 4 MiB\n");
        }
        else if (!m_bodies.grow(raw, raw->body().size())) {
            log(log_level::warn, "operator_refused", {{"reason", "too many large bodies"}});
            respond(*raw, unavailable, "too many large requests at once\n");
        }
    });
}

void operator_api::run_document_call(const exchange_ptr& exchange, const operator_call& call)
{
    switch (call.what) {
    case operator_call::kind::put_document:
        return put_document(exchange, call);
    case operator_call::kind::read_document:
        return read_document(exchange);
    case operator_call::kind::start_evacuation:
    case operator_call::kind::end_evacuation:
        return order_evacuation(exchange, call);
    case operator_call::kind::malformed:
        log(log_level::warn, "document_refused", {{"expected", call.problem}});
        return respond(*exchange, bad_request, call.problem + "\n");
    case operator_call::kind::unknown:
        return run_own_call(exchange);
    }
}

void operator_api::put_document(const exchange_ptr& exchange, const operator_call& call)
{
    if (refuse_before_first_admin(*exchange)) {
        return;
    }
    control::change_settings command;
    command.header = {document_change_id(call.change), m_settings.replica->admin, wall_clock_now()};
    command.subtree = document_subtree();
    command.edit = call.entries;
    command.document = call.change;
    m_host.submit(
        command, [this, exchange, version = call.change.document.version](const auto& result) {
            if (const auto* refused = std::get_if<control::submission_refused>(&result)) {
                return redirect(exchange, *refused);
            }
            const auto& reply = std::get<control::change_reply>(std::get<control::reply>(result));
            log(log_level::info, "document_judged",
                {{"document", std::to_string(version.value())},
                 {"verdict", std::string(to_string(reply.verdict))},
                 {"version", std::to_string(reply.version.value())},
                 {"problem", first_problem(reply)}});
            respond_json(*exchange, status_of(reply.verdict), "{}");
        });
}

void operator_api::read_document(const exchange_ptr& exchange)
{
    m_host.query([this, exchange](const control::submission_refused* refused) {
        if (refused != nullptr) {
            return redirect(exchange, *refused);
        }
        const auto& document = m_host.replica().state().document();
        if (document.version == base::document_version()) {
            return respond(*exchange, not_found, "no document has been put\n");
        }
        respond_json(*exchange, ok, document.text);
    });
}

bool operator_api::refuse_before_first_admin(http::exchange& exchange)
{
    const bool exists =
        m_host.replica().state().credentials().find(m_settings.replica->admin) != nullptr;
    if (exists || !m_host.leads()) {
        return false;
    }
    respond(exchange, unavailable, "the cluster has just formed\n");
    return true;
}

void operator_api::order_evacuation(const exchange_ptr& exchange, const operator_call& call)
{
    if (refuse_before_first_admin(*exchange)) {
        return;
    }
    control::set_evacuation order;
    order.header = {evacuation_change_id(m_random), m_settings.replica->admin, wall_clock_now()};
    order.domain = call.domain;
    order.evacuated = call.what == operator_call::kind::start_evacuation;
    order.known_domains = m_settings.replica->failure_domains;
    m_host.submit(order, [this, exchange, order](const auto& result) {
        if (const auto* refused = std::get_if<control::submission_refused>(&result)) {
            return redirect(exchange, *refused);
        }
        const auto& reply = std::get<control::change_reply>(std::get<control::reply>(result));
        const auto problem = first_problem(reply);
        log(log_level::info, "evacuation_judged",
            {{"domain", order.domain.value()},
             {"order", order.evacuated ? "start" : "end"},
             {"verdict", std::string(to_string(reply.verdict))},
             {"version", std::to_string(reply.version.value())},
             {"problem", problem}});
        const auto status = status_of(reply.verdict);
        if (status == ok) {
            return respond_json(*exchange, ok, "{}");
        }
        respond(*exchange, status, std::string(to_string(reply.verdict)) + ": " + problem + "\n");
    });
}

void operator_api::redirect(const exchange_ptr& exchange,
                            const control::submission_refused& refused)
{
    const bool known = refused.known_leader &&
                       refused.known_leader->value() != m_settings.name.value() &&
                       m_settings.discovers_replicas;
    if (!known) {
        return respond(*exchange, unavailable, to_json(refused));
    }
    http::response_head head;
    head.status = temporary_redirect;
    const http::address leader{refused.known_leader->value(), m_settings.replica->operators.port};
    head.headers.add("Location", "http://" + to_string(leader) + exchange->head().target);
    exchange->respond(std::move(head), "");
}

void operator_api::run_own_call(const exchange_ptr& exchange)
{
    const auto author = authenticate(exchange->head());
    if (!author) {
        log(log_level::warn, "operator_refused", {{"reason", "no known token"}});
        return respond(*exchange, unauthorized, "the token is missing or unknown\n");
    }
    if (exchange->head().method != "POST") {
        return run_query(exchange, *author);
    }
    if (exchange->head().target == "/v1/replica") {
        return run_replica_change(exchange, *author);
    }
    run_command(exchange, *author);
}

std::optional<base::operator_id> operator_api::authenticate(const http::request_head& head) const
{
    const auto* value = head.headers.find("Authorization");
    if (value == nullptr ||
        std::string_view(*value).substr(0, bearer_prefix.size()) != bearer_prefix) {
        return std::nullopt;
    }
    const auto hash = m_tokens.hash(std::string_view(*value).substr(bearer_prefix.size()));
    const auto* found = m_host.replica().state().credentials().find(
        control::token_hash(control::digest{hash.bytes}));
    return found == nullptr ? std::nullopt : std::optional(found->name);
}

void operator_api::run_command(const exchange_ptr& exchange, const base::operator_id& author)
{
    base::handle_failure(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(command,
                            parse_operator_command(exchange->body(), author, wall_clock_now()));
            if (auto* order = std::get_if<control::set_evacuation>(&command)) {
                order->known_domains = m_settings.replica->failure_domains;
            }
            m_host.submit(command, [this, exchange, author](const auto& result) {
                answer(exchange, author, result);
            });
            return {};
        },
        [&](const base::failure& error) { respond_failure(*exchange, error); });
}

void operator_api::answer(const exchange_ptr& exchange, const base::operator_id& author,
                          const std::variant<control::reply, control::submission_refused>& result)
{
    if (const auto* refused = std::get_if<control::submission_refused>(&result)) {
        respond(*exchange, unavailable, to_json(*refused));
        return;
    }
    const auto& reply = std::get<control::change_reply>(std::get<control::reply>(result));
    log(log_level::info, "operator_command",
        {{"author", author.value()},
         {"verdict", std::string(to_string(reply.verdict))},
         {"version", std::to_string(reply.version.value())}});
    respond(*exchange, 200, to_json(reply));
}

void operator_api::run_replica_change(const exchange_ptr& exchange, const base::operator_id& author)
{
    const auto* credential = m_host.replica().state().credentials().find(author);
    if (credential == nullptr || credential->role != control::credential_role::admin ||
        credential->subtree != settings::setting_path()) {
        respond(*exchange, forbidden, "only an admin of all settings may change the replicas\n");
        return;
    }
    base::handle_failure(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(wanted, parse_replica_change(exchange->body()));
            m_host.change_members(wanted, [this, exchange, author](const auto& result) {
                answer(exchange, author, result);
            });
            return {};
        },
        [&](const base::failure& error) { respond_failure(*exchange, error); });
}

void operator_api::show_answer(http::exchange& exchange, const base::operator_id& author)
{
    base::handle_failure(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(text, answer_query(exchange.head().target, author, m_host.replica(),
                                               http::event_loop::now()));
            respond(exchange, 200, text);
            return {};
        },
        [&](const base::failure& error) { respond_failure(exchange, error); });
}

void operator_api::run_query(const exchange_ptr& exchange, const base::operator_id& author)
{
    // Status is served by every replica, not only by the leader.
    if (exchange->head().target == "/v1/status") {
        show_answer(*exchange, author);
        return;
    }
    m_host.query([this, exchange, author](const control::submission_refused* refused) {
        if (refused != nullptr) {
            respond(*exchange, unavailable, to_json(*refused));
            return;
        }
        show_answer(*exchange, author);
    });
}

} // namespace damaskladder::daemon
