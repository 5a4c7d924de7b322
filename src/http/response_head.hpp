#pragma once

#include "base/byte_count.hpp"
#include "http/header_list.hpp"

#include <optional>

namespace damaskladder::http {

/// Status and header fields of a response.
struct response_head {
    int status = 200;
    header_list headers;
    /// Size of the body; unset if it is not known in advance.
    std::optional<base::byte_count> body_size;
};

} // namespace damaskladder::http
