#pragma once

#include "base/quantity.hpp"

#include <cstdint>

namespace damaskladder::base {

/// Weight that determines a workspace's share of the capacity under contention.
using share_weight = quantity<struct share_weight_tag, std::int32_t>;

} // namespace damaskladder::base
