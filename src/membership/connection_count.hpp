#pragma once

#include "base/quantity.hpp"

#include <cstdint>

namespace damaskladder::membership {

/// Connections that a backend server accepts at the same time.
using connection_count = base::quantity<struct connection_count_tag, std::int64_t>;

} // namespace damaskladder::membership
