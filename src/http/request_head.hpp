#pragma once

#include "base/byte_count.hpp"
#include "base/quantity.hpp"
#include "http/header_list.hpp"

#include <optional>
#include <string>

namespace damaskladder::http {

/// Request line and header fields.
struct request_head {
    std::string method = "GET";
    /// Path and query as sent, not decoded.
    std::string target = "/";
    header_list headers;
    /// Size of the body: zero if there is none, unset if it is chunked.
    std::optional<base::byte_count> body_size = base::byte_count(0);
};

} // namespace damaskladder::http
