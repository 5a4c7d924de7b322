#pragma once

#include "base/quantity.hpp"

#include <cstdint>

namespace damaskladder::base {

/// Extra attempts, beyond the first one.
using retry_count = quantity<struct retry_count_tag, std::int32_t>;

} // namespace damaskladder::base
