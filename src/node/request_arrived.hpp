#pragma once

#include "base/byte_count.hpp"
#include "base/content_hash.hpp"
#include "base/key_hash.hpp"
#include "base/request_id.hpp"
#include "base/service_id.hpp"
#include "node/exchange_id.hpp"
#include "node/request_constraints.hpp"

#include <optional>
#include <string>

namespace damaskladder::node {

/// Event: a caller's request came in at the entry port, with a key or with none.
struct request_arrived {
    exchange_id exchange;
    std::string path;
    /// Host name that the request names, without a port; may be empty.
    std::string host;
    /// Service of the VM on which the request began, if known.
    base::service_id origin;
    /// Keyed hash of the presented key.
    std::optional<base::key_hash> key;
    /// Request id that the caller gave.
    std::optional<base::request_id> request;
    request_constraints constraints;
    /// Size of the body, if announced.
    std::optional<base::byte_count> body_size;
    /// Needed with a request id: without it the request cannot be told from another one with the
    /// same id, and is refused as a bad request.
    std::optional<base::content_hash> content;
    /// The front end holds the whole body and can send it again.
    bool body_can_be_resent = false;
};

} // namespace damaskladder::node
