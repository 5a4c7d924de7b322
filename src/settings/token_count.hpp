#pragma once

#include "base/quantity.hpp"

#include <cstdint>

namespace damaskladder::settings {

/// Whole tokens; one token admits one request.
using token_count = base::quantity<struct token_count_tag, std::int64_t>;

} // namespace damaskladder::settings
