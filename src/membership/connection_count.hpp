#pragma once

#include "base/quantity.hpp"

#include <cstdint>

namespace damaskladder::membership {

/// Number of connections that a backend server accepts concurrently.
using connection_count = base::quantity<struct connection_count_tag, std::int64_t>;

} // namespace damaskladder::membership
