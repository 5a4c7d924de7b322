#pragma once

#include "base/byte_count.hpp"
#include "base/content_hash.hpp"
#include "base/service_id.hpp"
#include "node/call_context.hpp"
#include "node/exchange_id.hpp"

#include <optional>

namespace damaskladder::node {

/// Event: an entry node forwarded a call to the gatekeeper of this node.
struct call_arrived {
    exchange_id exchange;
    /// Service named by the entry node.
    base::service_id service;
    call_context context;
    std::optional<base::byte_count> body_size;
    /// Required for calls that are not idempotent; their claim records it.
    std::optional<base::content_hash> content;
};

} // namespace damaskladder::node
