#pragma once

#include "daemon/local_call.hpp"
#include "http/exchange.hpp"
#include "membership/announce_verdict.hpp"
#include "membership/announcement.hpp"

#include <functional>
#include <memory>
#include <string>

namespace damaskladder::daemon {

/// HTTP API for the backend server on this VM and for metrics collectors:
///     PUT /-/announce, DELETE /-/announce, PUT /-/drain  with JSON {service, port, slots,
///         connections, cold, credential}; the last two need service, port and credential
///     GET /-/health  200 while the process runs
///     GET /-/ready   200 while the node accepts requests, otherwise 503
///     GET /-/metrics text
/// Runs on the traffic thread. Announcements are forwarded to the control thread, and the response
/// is sent when it has decided.
class local_api {
public:
    enum class action { announce, withdraw, drain };
    using done = std::function<void(membership::announce_verdict)>;

    struct hooks {
        std::function<local_call(const http::request_head&, std::string_view body)> read_call;
        /// Handles an announcement; done is called on the traffic thread.
        std::function<void(action, const membership::announcement&, done)> announce;
        std::function<bool()> ready;
        std::function<std::string()> metrics;
    };

    explicit local_api(hooks callbacks) : m_hooks(std::move(callbacks)) {}

    void serve(const std::shared_ptr<http::exchange>& exchange);

private:
    void answer(http::exchange& exchange);
    void announce(http::exchange& exchange, action wanted, const membership::announcement& offer);

    hooks m_hooks;
};

} // namespace damaskladder::daemon
