#pragma once

#include "base/time.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace damaskladder::control {

/// "2026-12-04T10:20:30.123456Z" for years 1970 to 9999; times outside are brought to the nearest.
std::string format_timestamp(base::wall_time time);

/// Reads exactly the form that format_timestamp writes.
std::optional<base::wall_time> parse_timestamp(std::string_view text);

} // namespace damaskladder::control
