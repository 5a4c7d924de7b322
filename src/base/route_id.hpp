#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::base {

/// Path of a route in the settings tree.
using route_id = strong_id<struct route_id_tag, std::string>;

} // namespace damaskladder::base
