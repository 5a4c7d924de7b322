#pragma once

#include "base/request_id.hpp"
#include "node/request_constraints.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace damaskladder::daemon {

/// What a caller's headers say, before any decision.
struct parsed_request {
    /// Path without the query.
    std::string path;
    /// Host name without a port; empty if none is named.
    std::string host;
    /// The presented key; views the exchange's headers.
    std::optional<std::string_view> key;
    /// The key came in Authorization, which then must not reach a backend server.
    bool key_in_authorization = false;
    std::optional<base::request_id> request;
    /// A caller's own repeat bears the same request id; false if each attempt has its own.
    bool retries_share_id = true;
    node::request_constraints caller_constraints;
    /// Sealed context of an onward call; views the exchange's headers.
    std::optional<std::string_view> context;
};

} // namespace damaskladder::daemon
