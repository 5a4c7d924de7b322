#pragma once

#include "base/quantity.hpp"

#include <cstdint>

namespace damaskladder::base {

/// Number of requests.
using request_count = quantity<struct request_count_tag, std::int64_t>;

} // namespace damaskladder::base
