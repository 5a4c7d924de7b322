#pragma once

#include "admission/route_pressure.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace damaskladder::daemon {

/// Bounds the size of the metrics; a node may have hundreds of routes.
inline constexpr std::size_t max_shown_routes = 10;

/// Returns pressure and shed fraction of root routes in the Prometheus text exposition format.
std::string pressure_text(const std::vector<admission::route_pressure>& routes);

} // namespace damaskladder::daemon
