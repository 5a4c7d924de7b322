#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::load {

/// Name of a stream of requests, from its section [streams/NAME].
using stream_name = base::strong_id<struct stream_name_tag, std::string>;

} // namespace damaskladder::load
