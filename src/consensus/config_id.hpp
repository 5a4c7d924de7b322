#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::consensus {

/// Sequence number of a cluster configuration; the first one is 1, and 0 means that there is none
/// yet.
using config_id = base::strong_id<struct config_id_tag, std::uint64_t>;

} // namespace damaskladder::consensus
