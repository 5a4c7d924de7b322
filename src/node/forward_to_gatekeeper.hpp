#pragma once

#include "base/node_id.hpp"
#include "base/service_id.hpp"
#include "base/time.hpp"
#include "node/call_context.hpp"
#include "node/exchange_id.hpp"
#include "node/transfer_id.hpp"

namespace damaskladder::node {

/// Effect: sends the request of an exchange to the gatekeeper of a backend server, which may be
/// this node. The front end seals the context.
struct forward_to_gatekeeper {
    transfer_id transfer;
    exchange_id exchange;
    base::node_id gatekeeper;
    base::service_id service;
    call_context context;
    /// The machine cancels the transfer at this time; the front end needs no timer of its own.
    base::time_point deadline;
};

} // namespace damaskladder::node
