#pragma once

#include "load/run_report.hpp"

#include <ostream>

namespace damaskladder::load {

/// Writes a human-readable summary.
void write_text(std::ostream& out, const run_report& report);

} // namespace damaskladder::load
