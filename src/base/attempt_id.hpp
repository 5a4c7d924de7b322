#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::base {

/// Random id of one attempt to execute a call, unique in the fleet.
using attempt_id = strong_id<struct attempt_id_tag, std::uint64_t>;

} // namespace damaskladder::base
