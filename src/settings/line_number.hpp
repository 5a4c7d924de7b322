#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::settings {

/// Line of a settings file, starting at 1; 0 if the setting does not come from a file.
using line_number = base::strong_id<struct line_number_tag, std::uint32_t>;

} // namespace damaskladder::settings
