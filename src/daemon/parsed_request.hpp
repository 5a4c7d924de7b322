#pragma once

#include "base/request_id.hpp"
#include "node/request_constraints.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace damaskladder::daemon {

/// Parsed header fields of a caller's request.
struct parsed_request {
    /// Path without the query string.
    std::string path;
    /// Host name without a port; empty if the request names none.
    std::string host;
    /// Key of the request; a view into the headers of the exchange.
    std::optional<std::string_view> key;
    std::optional<base::request_id> request;
    /// Whether a retry by the caller carries the same request id; false if each attempt has its
    /// own.
    bool retries_share_id = true;
    node::request_constraints caller_constraints;
    /// Sealed context of an onward call; a view into the headers of the exchange.
    std::optional<std::string_view> context;
};

} // namespace damaskladder::daemon
