#pragma once

#include "base/service_id.hpp"
#include "base/time.hpp"
#include "node/call_context.hpp"
#include "node/exchange_id.hpp"
#include "node/transfer_id.hpp"

namespace damaskladder::node {

/// Effect: sends the request of an exchange to the local backend server.
struct start_at_backend_server {
    transfer_id transfer;
    exchange_id exchange;
    base::service_id service;
    /// Passed to the backend server in sealed form, for its onward calls.
    call_context context;
    base::time_point deadline;
    /// Use a new connection, because the HTTP library could resend the request on a reused one.
    bool fresh_connection = false;
};

} // namespace damaskladder::node
