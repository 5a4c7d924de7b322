#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::consensus {

/// Numbers the configurations of a cluster; the first one has 1. 0 means that there is none yet.
using config_id = base::strong_id<struct config_id_tag, std::uint64_t>;

} // namespace damaskladder::consensus
