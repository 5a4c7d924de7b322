#pragma once

#include "load/run_report.hpp"

#include <string>

namespace damaskladder::load {

/// Returns the report as JSON text. Times are in microseconds.
std::string to_json(const run_report& report);

} // namespace damaskladder::load
