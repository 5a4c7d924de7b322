#pragma once

#include "base/content_hash.hpp"
#include "http/request_head.hpp"

#include <string_view>

namespace damaskladder::daemon {

/// Returns a hash of the method, the target, the body size and the body. If the body is longer than
/// the buffer of the exchange, only its beginning is hashed, since the rest is not buffered.
base::content_hash hash_content(const http::request_head& head, std::string_view body);

} // namespace damaskladder::daemon
