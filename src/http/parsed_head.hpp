#pragma once

#include "base/byte_count.hpp"
#include "base/quantity.hpp"
#include "http/header_list.hpp"

#include <optional>
#include <string>

namespace damaskladder::http {

/// Start line and fields of a message, and what they say of its body and its connection.
struct parsed_head {
    /// Of a request.
    std::string method;
    std::string target;
    /// Of an answer.
    int status = 0;
    header_list headers;
    /// Size of the body; unset if it comes in chunks or lasts until the connection ends.
    std::optional<base::byte_count> body_size;
    /// HTTP/1.1, with chunked bodies and interim answers.
    bool is_http_1_1 = true;
    /// The connection may carry another message after this one.
    bool keep_alive = true;
};

} // namespace damaskladder::http
