#pragma once

#include "base/random_source.hpp"
#include "routing/completion_estimate.hpp"

#include <cstddef>
#include <vector>

namespace damaskladder::routing {

/// Draws two different servers, each with a probability proportional to its throughput, and returns
/// the index of the one with the lower load relative to its capacity. Servers of different speed
/// then get equal load after speed, also when many routers choose on outdated reports. `servers`
/// must not be empty.
std::size_t pick_by_completion(const std::vector<completion_estimate>& servers,
                               const base::random_source& random);

} // namespace damaskladder::routing
