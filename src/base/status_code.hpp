#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::base {

/// Three-digit response status as defined by HTTP.
using status_code = strong_id<struct status_code_tag, std::uint16_t>;

} // namespace damaskladder::base
