#pragma once

#include "base/quantity.hpp"

#include <cstdint>

namespace damaskladder::quota {

/// A boundary of a share, in millionths of the interval that the failure domains partition.
using share_point = base::quantity<struct share_point_tag, std::int64_t>;

} // namespace damaskladder::quota
