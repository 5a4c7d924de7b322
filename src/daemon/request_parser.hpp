#pragma once

#include "base/result.hpp"
#include "daemon/parsed_request.hpp"
#include "http/request_head.hpp"

namespace damaskladder::daemon {

/// Parses the header fields of a caller's request. Fails with invalid_argument on a field that is
/// malformed, too long or duplicated; the text names the field and what was expected, and never
/// contains a key.
base::result<parsed_request> parse_request(const http::request_head& head);

} // namespace damaskladder::daemon
