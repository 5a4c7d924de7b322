#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::consensus {

/// Sequence number of a persist effect within one run of a replica. Effects are written in this
/// order.
using persist_token = base::strong_id<struct persist_token_tag, std::uint64_t>;

} // namespace damaskladder::consensus
