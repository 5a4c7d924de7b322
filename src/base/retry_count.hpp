#pragma once

#include "base/quantity.hpp"

#include <cstdint>

namespace damaskladder::base {

/// Number of attempts after the first one.
using retry_count = quantity<struct retry_count_tag, std::int32_t>;

} // namespace damaskladder::base
