#pragma once

#include "base/request_id.hpp"
#include "node/request_wishes.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace damaskladder::daemon {

/// What a caller's headers say, before any decision.
struct parsed_request {
    /// Path without the query.
    std::string path;
    /// The presented key; views the exchange's headers.
    std::optional<std::string_view> key;
    /// The key came in Authorization, which then must not reach a backend server.
    bool key_in_authorization = false;
    std::optional<base::request_id> request;
    node::request_wishes wishes;
    /// Sealed context of an onward call; views the exchange's headers.
    std::optional<std::string_view> context;
};

} // namespace damaskladder::daemon
