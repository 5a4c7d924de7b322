#pragma once

#include "base/quantity.hpp"

#include <cstdint>

namespace damaskladder::base {

/// Relative share of a workspace under contention.
using share_weight = quantity<struct share_weight_tag, std::int32_t>;

} // namespace damaskladder::base
