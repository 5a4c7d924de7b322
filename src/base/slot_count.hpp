#pragma once

#include "base/quantity.hpp"

#include <cstdint>

namespace damaskladder::base {

/// Number of requests that a backend server can execute concurrently.
using slot_count = quantity<struct slot_count_tag, std::int64_t>;

} // namespace damaskladder::base
