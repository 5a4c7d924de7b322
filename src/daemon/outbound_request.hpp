#pragma once

#include "http/response_head.hpp"
#include "http/transfer.hpp"
#include "node/exchange_id.hpp"
#include "node/kept_answer.hpp"
#include "node/transfer_id.hpp"

#include <memory>
#include <optional>
#include <string>

namespace damaskladder::daemon {

/// One request that the traffic front end has sent, and its answer.
struct outbound_request {
    node::transfer_id id;
    node::exchange_id exchange;
    std::shared_ptr<http::transfer> transfer;
    /// Sent to another node rather than to the local backend server.
    bool to_gatekeeper = false;
    /// Next byte of a kept body to send.
    std::size_t body_position = 0;
    /// Answer head, from its arrival on.
    std::optional<http::response_head> head;
    /// The decisions have been told the end; what still arrives is dropped.
    bool settled = false;
    /// The answer goes to the exchange.
    bool relaying = false;
    /// Copy of the answer for repeats of the request, while it stays within the bound.
    std::shared_ptr<node::kept_answer> copy;
};

} // namespace damaskladder::daemon
