#include "daemon/local_api.hpp"

#include "daemon/log.hpp"

namespace damaskladder::daemon {

namespace {

constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int forbidden = 403;
constexpr int not_found = 404;
constexpr int conflict = 409;
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
    case membership::announce_verdict::outdated:
        return conflict;
    case membership::announce_verdict::leaving:
    case membership::announce_verdict::unconfirmed:
        return unavailable;
    case membership::announce_verdict::invalid:
    case membership::announce_verdict::too_many:
        break;
    }
    return bad_request;
}

} // namespace

void local_api::serve(const std::shared_ptr<http::exchange>& exchange)
{
    const auto& size = exchange->head().body_size;
    if (size && size->value() == 0) {
        answer(*exchange);
        return;
    }
    exchange->on_body([this, raw = exchange.get()] {
        if (raw->body_complete()) {
            answer(*raw);
        }
    });
}

void local_api::answer(http::exchange& exchange)
{
    const auto call = m_hooks.read_call(exchange.head(), exchange.body());
    switch (call.what) {
    case local_call::kind::health:
        return respond(exchange, ok, "running\n");
    case local_call::kind::ready: {
        const bool ready = m_hooks.ready();
        return respond(exchange, ready ? ok : unavailable, ready ? "ready\n" : "not ready\n");
    }
    case local_call::kind::metrics:
        return respond(exchange, ok, m_hooks.metrics());
    case local_call::kind::announce:
        return announce(exchange, action::announce, call.offer);
    case local_call::kind::drain:
        return announce(exchange, action::drain, call.offer);
    case local_call::kind::withdraw:
        return announce(exchange, action::withdraw, call.offer);
    case local_call::kind::malformed:
        log(log_level::warn, "announcement_malformed", {{"expected", call.problem}});
        return respond(exchange, bad_request, call.problem + "\n");
    case local_call::kind::unknown:
        return respond(exchange, not_found, "no such call of the local API\n");
    }
}

void local_api::announce(http::exchange& exchange, action wanted,
                         const membership::announcement& offer)
{
    m_hooks.announce(wanted, offer,
                     [kept = exchange.shared_from_this()](membership::announce_verdict verdict) {
                         respond(*kept, status_of(verdict), std::string(to_string(verdict)) + "\n");
                     });
}

} // namespace damaskladder::daemon
