#pragma once

#include "base/content_hash.hpp"
#include "http/request_head.hpp"

#include <string_view>

namespace damaskladder::daemon {

/// Hash of method, target, size of the body and its bytes. Of a body that is longer than the
/// exchange's buffer only the beginning counts, since it is not held whole.
base::content_hash hash_content(const http::request_head& head, std::string_view body);

} // namespace damaskladder::daemon
