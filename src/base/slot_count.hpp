#pragma once

#include "base/quantity.hpp"

#include <cstdint>

namespace damaskladder::base {

/// Requests that a backend server can run at the same time.
using slot_count = quantity<struct slot_count_tag, std::int64_t>;

} // namespace damaskladder::base
