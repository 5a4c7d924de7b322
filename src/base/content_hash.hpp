#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::base {

/// Hash of the parts of a request that define its content: method, path, query and body.
using content_hash = strong_id<struct content_hash_tag, std::string>;

} // namespace damaskladder::base
