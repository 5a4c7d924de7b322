#pragma once

#include "load/experiment.hpp"

namespace damaskladder::load {

/// Surges of one stream.
std::vector<surge_settings> surges_of_stream(const experiment& plan, const stream_name& stream);

/// Mean number of attempts of the whole experiment if every stream makes all its further attempts.
double planned_attempts(const experiment& plan);

} // namespace damaskladder::load
