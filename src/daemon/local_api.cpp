#include "daemon/local_api.hpp"

#include "base/result.hpp"

#include <nlohmann/json.hpp>

namespace damaskladder::daemon {

namespace {

constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int forbidden = 403;
constexpr int not_found = 404;
constexpr int unavailable = 503;

void respond(http::exchange& exchange, int status, std::string_view body)
{
    http::response_head head;
    head.status = status;
    exchange.respond(std::move(head), body);
}

int status_of(membership::announce_verdict verdict)
{
    switch (verdict) {
    case membership::announce_verdict::accepted:
        return ok;
    case membership::announce_verdict::not_permitted:
        return forbidden;
    case membership::announce_verdict::unknown:
        return not_found;
    case membership::announce_verdict::invalid:
    case membership::announce_verdict::too_many:
        break;
    }
    return bad_request;
}

/// Fails with invalid_argument if a member is missing or has another type.
base::result<membership::announcement> parse_announcement(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        membership::announcement offer;
        offer.service = base::service_id(json.at("service").get<std::string>());
        const auto port = json.at("port").get<std::int64_t>();
        if (!std::in_range<std::uint16_t>(port)) {
            throw std::out_of_range("port");
        }
        offer.port = base::port_number(static_cast<std::uint16_t>(port));
        offer.slots = base::slot_count(json.value("slots", std::int64_t{0}));
        offer.connections =
            membership::connection_count(json.value("connections", std::int64_t{0}));
        offer.cold = json.value("cold", false);
        offer.credential = membership::credential_text(json.value("credential", std::string()));
        return offer;
    }
    catch (const std::exception&) {
        return base::fail(base::failure_kind::invalid_argument, "read announcement", {},
                          "expected JSON with service, port, slots, connections, cold and "
                          "credential");
    }
}

} // namespace

void local_api::serve(const std::shared_ptr<http::exchange>& exchange)
{
    const auto& head = exchange->head();
    if (head.target == "/-/announce" && head.method == "PUT") {
        serve_announcement(exchange, action::announce);
    }
    else if (head.target == "/-/announce" && head.method == "DELETE") {
        serve_announcement(exchange, action::withdraw);
    }
    else if (head.target == "/-/drain" && head.method == "PUT") {
        serve_announcement(exchange, action::drain);
    }
    else if (head.target == "/-/health") {
        respond(*exchange, ok, "running\n");
    }
    else if (head.target == "/-/ready") {
        const bool ready = m_hooks.ready();
        respond(*exchange, ready ? ok : unavailable, ready ? "ready\n" : "not ready\n");
    }
    else if (head.target == "/-/metrics") {
        respond(*exchange, ok, m_hooks.metrics());
    }
    else {
        respond(*exchange, not_found, "no such call of the local API\n");
    }
}

void local_api::serve_announcement(const std::shared_ptr<http::exchange>& exchange, action wanted)
{
    exchange->on_body([this, raw = exchange.get(), wanted] {
        if (!raw->body_complete()) {
            return;
        }
        const auto kept = raw->shared_from_this();
        base::handle_failure(
            [&]() -> base::result<void> {
                BOOST_LEAF_AUTO(offer, parse_announcement(raw->body()));
                m_hooks.announce(wanted, offer, [kept](membership::announce_verdict verdict) {
                    respond(*kept, status_of(verdict), std::string(to_string(verdict)) + "\n");
                });
                return {};
            },
            [&](const base::failure& error) { respond(*kept, bad_request, error.text + "\n"); });
    });
}

} // namespace damaskladder::daemon
