#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::base {

/// Distinguishes a run of a process from earlier runs; newer runs have larger values.
using incarnation = strong_id<struct incarnation_tag, std::uint64_t>;

} // namespace damaskladder::base
