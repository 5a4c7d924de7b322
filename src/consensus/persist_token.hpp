#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::consensus {

/// Numbers the persist effects of one run of a replica, in the order in which they are to be
/// written.
using persist_token = base::strong_id<struct persist_token_tag, std::uint64_t>;

} // namespace damaskladder::consensus
