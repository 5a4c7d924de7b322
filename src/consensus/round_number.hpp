#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::consensus {

/// Sequence number of a leader's heartbeat round within its term.
using round_number = base::strong_id<struct round_number_tag, std::uint64_t>;

} // namespace damaskladder::consensus
