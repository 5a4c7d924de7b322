#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::base {

/// IP address and port ("10.1.2.3:7410") on which a node accepts HTTP requests from other nodes.
using traffic_address = strong_id<struct traffic_address_tag, std::string>;

} // namespace damaskladder::base
