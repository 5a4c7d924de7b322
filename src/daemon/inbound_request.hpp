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

/// Which port a request came in at.
enum class inbound_listener { caller, backend_server, peer };

/// One request in progress, as the traffic front end knows it.
struct inbound_request {
    node::exchange_id id;
    inbound_listener listener = inbound_listener::caller;
    std::shared_ptr<http::exchange> exchange;
    /// Headers to pass on: without hop-by-hop fields, the system's own fields and the key.
    http::header_list forwarded;
    std::optional<base::content_hash> content;
    /// The caller's request id, for logs; empty if it gave none.
    base::request_id request;
    /// The request has been given to the decisions.
    bool submitted = false;
    /// The whole body lies in the exchange's buffer and stays there, so it can be sent again.
    bool body_kept = false;
    /// The transfer that reads the body now, and how far, if the body is kept.
    std::optional<node::transfer_id> reader;
    base::time_point arrived_at;
};

} // namespace damaskladder::daemon
