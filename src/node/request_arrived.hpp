#pragma once

#include "base/byte_count.hpp"
#include "base/content_hash.hpp"
#include "base/key_hash.hpp"
#include "base/request_id.hpp"
#include "base/service_id.hpp"
#include "base/time.hpp"
#include "node/exchange_id.hpp"
#include "node/request_constraints.hpp"

#include <optional>
#include <string>
#include <vector>

namespace damaskladder::node {

/// Event: a caller's request arrived at the entry port, with or without a key.
struct request_arrived {
    exchange_id exchange;
    std::string path;
    /// Host name of the request, without a port; may be empty.
    std::string host;
    /// Service of the VM that sent the request, if known.
    base::service_id origin;
    /// Keyed hash of the presented key.
    std::optional<base::key_hash> key;
    /// Request id provided by the caller.
    std::optional<base::request_id> request;
    request_constraints constraints;
    /// Size of the body, if announced.
    std::optional<base::byte_count> body_size;
    /// Required with a request id: without it the request cannot be distinguished from a different
    /// one with the same id, and is refused as a bad request.
    std::optional<base::content_hash> content;
    /// The front end holds the whole body and can send it again.
    bool body_can_be_resent = false;
    /// Exchanges ahead on the connection that are not answered yet.
    std::vector<exchange_id> ahead{};
    /// Time since the request was received.
    base::duration waited{};
};

} // namespace damaskladder::node
