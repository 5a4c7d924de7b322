#pragma once

#include "base/time.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace damaskladder::control {

/// Formats a time as "2026-12-04T10:20:30.123456Z". Times outside the years 1970 to 9999 are
/// clamped.
std::string format_timestamp(base::wall_time time);

/// Parses exactly the format that format_timestamp writes.
std::optional<base::wall_time> parse_timestamp(std::string_view text);

} // namespace damaskladder::control
