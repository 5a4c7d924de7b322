#pragma once

#include "base/content_hash.hpp"
#include "base/node_id.hpp"
#include "base/request_id.hpp"
#include "base/time.hpp"
#include "http/exchange.hpp"
#include "http/header_list.hpp"
#include "node/exchange_id.hpp"
#include "node/transfer_id.hpp"

#include <memory>
#include <optional>

namespace damaskladder::daemon {

/// Listener that accepted a request.
enum class inbound_listener { caller, backend_server, peer };

/// State of one request in progress in the traffic front end.
struct inbound_request {
    node::exchange_id id;
    inbound_listener listener = inbound_listener::caller;
    std::shared_ptr<http::exchange> exchange;
    /// Headers to forward, without hop-by-hop fields, the system's own fields and the key.
    http::header_list forwarded;
    std::optional<base::content_hash> content;
    /// Request id given by the caller, for logs; empty if none was given.
    base::request_id request;
    /// The request has been submitted to the traffic state machine.
    bool submitted = false;
    /// The whole body is buffered in the exchange and stays there, so that it can be sent again.
    bool body_kept = false;
    /// Transfer that currently reads the body, and how far it has read if the body is buffered.
    std::optional<node::transfer_id> reader;
    base::time_point arrived_at;
};

} // namespace damaskladder::daemon
