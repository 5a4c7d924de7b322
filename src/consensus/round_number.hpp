#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::consensus {

/// Numbers the heartbeat rounds of a leader within its term.
using round_number = base::strong_id<struct round_number_tag, std::uint64_t>;

} // namespace damaskladder::consensus
