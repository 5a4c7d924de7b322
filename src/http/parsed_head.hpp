#pragma once

#include "base/byte_count.hpp"
#include "base/quantity.hpp"
#include "http/header_list.hpp"

#include <optional>
#include <string>

namespace damaskladder::http {

/// Start line and header fields of a message, with the framing and connection properties derived
/// from them.
struct parsed_head {
    /// Set for requests.
    std::string method;
    std::string target;
    /// Set for responses.
    int status = 0;
    header_list headers;
    /// Size of the body; unset if it is chunked or extends to the end of the connection.
    std::optional<base::byte_count> body_size;
    /// The sender speaks HTTP/1.1 or later, which has chunked bodies and interim responses.
    bool is_http_1_1 = true;
    /// The connection may carry another message after this one.
    bool keep_alive = true;
};

} // namespace damaskladder::http
