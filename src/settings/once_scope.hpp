#pragma once

#include <cstdint>

namespace damaskladder::settings {

/// What "at most once" counts for a request that is not idempotent.
enum class once_scope : std::uint8_t {
    /// All requests with one request id, on all nodes: a claim in the replicated log.
    request_id,
    /// Each request that a caller sends; a caller's own repeat is another one. Needs no claim.
    attempt,
};

} // namespace damaskladder::settings
