#pragma once

#include "base/load_fraction.hpp"

#include <optional>
#include <string>

namespace damaskladder::daemon {

/// Formats the value of Damaskladder-Pressure: hundredths, from 0 to 400.
std::string write_pressure(base::load_fraction pressure);

/// Parses a value of Damaskladder-Pressure; larger ones are clamped. Empty if `value` is null or
/// not a number that is 0 or more.
std::optional<base::load_fraction> read_pressure(const std::string* value);

} // namespace damaskladder::daemon
