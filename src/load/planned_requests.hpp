#pragma once

#include "load/experiment.hpp"

namespace damaskladder::load {

/// Returns the surges of one stream.
std::vector<surge_settings> surges_of_stream(const experiment& plan, const stream_name& stream);

/// Expected number of attempts of the experiment if every request uses all its retries.
double planned_attempts(const experiment& plan);

} // namespace damaskladder::load
