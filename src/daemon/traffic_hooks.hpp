#pragma once

#include "http/exchange.hpp"
#include "node/complete_claim.hpp"
#include "node/exchange_id.hpp"
#include "node/release_claim.hpp"
#include "node/request_claim.hpp"
#include "node/request_token.hpp"
#include "node/return_token.hpp"

#include <functional>
#include <memory>

namespace damaskladder::daemon {

/// Hooks of a traffic front end into the rest of the process. They must not block; results are
/// delivered as events through traffic_frontend::deliver().
struct traffic_hooks {
    std::function<void(const node::request_token&)> acquire_token;
    std::function<void(const node::return_token&)> refund_token;
    /// Reports the end of an exchange; a token that it acquired is spent.
    std::function<void(node::exchange_id)> exchange_ended;
    std::function<void(const node::request_claim&)> acquire_claim;
    std::function<void(const node::release_claim&)> release_claim;
    std::function<void(const node::complete_claim&)> complete_claim;
    /// A run of the backend server on this VM has said that it leaves.
    std::function<void(const base::instance_id&)> backend_leaving;
    /// Returns the service of the backend servers on this VM; unset if there are none.
    std::function<base::service_id()> own_service;
    /// Serves a call of the local API (targets that begin with "/-/" on the backend server's port).
    std::function<void(const std::shared_ptr<http::exchange>&)> local_api;
};

} // namespace damaskladder::daemon
