#include "daemon/operator_api.hpp"

#include "daemon/log.hpp"
#include "daemon/operator_answer.hpp"
#include "daemon/operator_command.hpp"
#include "daemon/operator_query.hpp"
#include "daemon/wall_clock_now.hpp"

namespace damaskladder::daemon {

namespace {

constexpr std::string_view bearer = "Bearer ";
constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int forbidden = 403;
constexpr int not_found = 404;
constexpr int unavailable = 503;
// A subtree as INI text, escaped as JSON.
constexpr base::byte_count max_command_body{4 * 1024 * 1024};

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

void respond_failure(http::exchange& exchange, const base::failure& error)
{
    const auto status = error.kind == base::failure_kind::not_found           ? not_found
                        : error.kind == base::failure_kind::permission_denied ? forbidden
                                                                              : bad_request;
    respond(exchange, status, error.text + "\n");
}

} // namespace

operator_api::operator_api(http::event_loop& loop, replica_host& host,
                           const wire::cluster_secret& secret)
    : m_host(host),
      m_tokens(secret, wire::key_usage::tokens),
      m_server(loop, operator_limits(), [this](const exchange_ptr& e) { arrived(e); })
{
}

void operator_api::arrived(const exchange_ptr& exchange)
{
    const auto author = authenticate(exchange->head());
    if (!author) {
        log(log_level::warn, "operator_refused", {{"reason", "no known token"}});
        respond(*exchange, unauthorized, "the token is missing or unknown\n");
        return;
    }
    const bool is_command = exchange->head().method == "POST";
    if (!is_command) {
        run_query(exchange, *author);
        return;
    }
    exchange->on_body([this, raw = exchange.get(), author = *author] {
        if (raw->body_complete() && raw->head().target == "/v1/replica") {
            run_replica_change(raw->shared_from_this(), author);
        }
        else if (raw->body_complete()) {
            run_command(raw->shared_from_this(), author);
        }
        else if (raw->body().size() >= static_cast<std::size_t>(max_command_body.value())) {
            respond(*raw, bad_request, "the command is longer than 4 MiB\n");
        }
    });
}

std::optional<base::operator_id> operator_api::authenticate(const http::request_head& head) const
{
    const auto* value = head.headers.find("Authorization");
    if (value == nullptr || std::string_view(*value).substr(0, bearer.size()) != bearer) {
        return std::nullopt;
    }
    const auto hash = m_tokens.hash(std::string_view(*value).substr(bearer.size()));
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
            BOOST_LEAF_AUTO(text, answer_query(exchange.head().target, author, m_host.replica()));
            respond(exchange, 200, text);
            return {};
        },
        [&](const base::failure& error) { respond_failure(exchange, error); });
}

void operator_api::run_query(const exchange_ptr& exchange, const base::operator_id& author)
{
    // The status of each replica is of interest, leader or not.
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
