#pragma once

#include "base/quantity.hpp"

#include <cstdint>

namespace damaskladder::base {

/// Size in bytes.
using byte_count = quantity<struct byte_count_tag, std::int64_t>;

} // namespace damaskladder::base
