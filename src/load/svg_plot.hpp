#pragma once

#include "load/second_count.hpp"

#include <string>
#include <vector>

namespace damaskladder::load {

/// Demand and goodput of each second as an SVG picture.
std::string to_svg(const std::vector<second_count>& seconds);

} // namespace damaskladder::load
