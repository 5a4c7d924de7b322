#pragma once

#include "load/goodput_counts.hpp"

#include <string>
#include <vector>

namespace damaskladder::load {

/// Returns a plot of demand and goodput for each second, as SVG.
std::string to_svg(const std::vector<goodput_counts>& seconds);

} // namespace damaskladder::load
