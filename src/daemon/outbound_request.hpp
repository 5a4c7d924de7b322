#pragma once

#include "base/instance_id.hpp"
#include "base/service_id.hpp"
#include "http/response_head.hpp"
#include "http/transfer.hpp"
#include "node/exchange_id.hpp"
#include "node/kept_answer.hpp"
#include "node/transfer_id.hpp"

#include <memory>
#include <optional>
#include <string>

namespace damaskladder::daemon {

/// State of one request sent by the traffic front end, and of its response.
struct outbound_request {
    node::transfer_id id;
    node::exchange_id exchange;
    std::shared_ptr<http::transfer> transfer;
    /// Whether it was sent to another node rather than to the local backend server.
    bool to_gatekeeper = false;
    /// Backend server that it was sent to, if not to another node.
    base::service_id service;
    base::instance_id instance;
    /// Offset of the next byte to send of a buffered body.
    std::size_t body_position = 0;
    /// Head of the response; unset until it arrives.
    std::optional<http::response_head> head;
    /// The outcome has been reported to the traffic state machine; later events of the transfer are
    /// dropped.
    bool settled = false;
    /// The response is being relayed to the exchange.
    bool relaying = false;
    /// Copy of the response for duplicates of the request; reset if it exceeds the size limit.
    std::shared_ptr<node::kept_answer> copy;
};

} // namespace damaskladder::daemon
