#pragma once

#include "base/quantity.hpp"

#include <cstdint>

namespace damaskladder::quota {

/// A point of the interval that the failure domains divide among them, in millionths of it.
using share_point = base::quantity<struct share_point_tag, std::int64_t>;

} // namespace damaskladder::quota
