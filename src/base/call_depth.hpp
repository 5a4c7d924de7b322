#pragma once

#include "base/quantity.hpp"

#include <cstdint>

namespace damaskladder::base {

/// Number of calls between the caller's request and this call.
using call_depth = quantity<struct call_depth_tag, std::int32_t>;

} // namespace damaskladder::base
