#pragma once

#include "load/goodput_counts.hpp"

#include <string>
#include <vector>

namespace damaskladder::load {

/// Demand and goodput of each second as an SVG picture.
std::string to_svg(const std::vector<goodput_counts>& seconds);

} // namespace damaskladder::load
