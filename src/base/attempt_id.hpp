#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::base {

/// Identifies one attempt to run a call; drawn at random, unique in the fleet.
using attempt_id = strong_id<struct attempt_id_tag, std::uint64_t>;

} // namespace damaskladder::base
