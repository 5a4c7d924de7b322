#pragma once

#include "base/byte_count.hpp"
#include "base/content_hash.hpp"
#include "base/request_id.hpp"
#include "base/time.hpp"
#include "node/call_context.hpp"
#include "node/exchange_id.hpp"
#include "node/request_constraints.hpp"

#include <optional>
#include <string>
#include <vector>

namespace damaskladder::node {

/// Event: a backend server on this VM made an onward call, which names its parent call.
struct onward_call_arrived {
    exchange_id exchange;
    std::string path;
    /// Context of the call that the backend server is running, as decrypted by the front end.
    call_context parent;
    /// Required on routes that are not idempotent, as for requests of callers.
    std::optional<base::request_id> request;
    request_constraints constraints;
    std::optional<base::byte_count> body_size;
    std::optional<base::content_hash> content;
    /// The front end holds the whole body and can send it again.
    bool body_can_be_resent = false;
    /// Exchanges ahead on the connection that are not answered yet.
    std::vector<exchange_id> ahead{};
    /// Time since the request was received.
    base::duration waited{};
};

} // namespace damaskladder::node
