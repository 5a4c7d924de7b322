#pragma once

#include "base/quantity.hpp"

#include <cstdint>

namespace damaskladder::load {

/// A number of requests.
using request_count = base::quantity<struct request_count_tag, std::uint64_t>;

} // namespace damaskladder::load
