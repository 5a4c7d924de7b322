#pragma once

#include "base/quantity.hpp"

#include <cstdint>

namespace damaskladder::settings {

/// Rate in thousandths of a token per second, so that "0.5/s" is exact.
using token_rate = base::quantity<struct token_rate_tag, std::int64_t>;

} // namespace damaskladder::settings
