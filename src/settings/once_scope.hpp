#pragma once

#include <cstdint>

namespace damaskladder::settings {

/// Scope within which a request that is not idempotent runs at most once.
enum class once_scope : std::uint8_t {
    /// All requests with the same request id, on all nodes. Needs a claim in the replicated log.
    request_id,
    /// Each request that a caller sends; a retry by the caller is a separate request. Needs no
    /// claim.
    attempt,
};

} // namespace damaskladder::settings
