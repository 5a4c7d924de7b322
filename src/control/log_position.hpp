#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::control {

/// Position of a command in the replicated log, from 1.
using log_position = base::strong_id<struct log_position_tag, std::uint64_t>;

} // namespace damaskladder::control
