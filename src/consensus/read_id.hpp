#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::consensus {

/// Identifies a read confirmation; chosen by the caller, unique in its process.
using read_id = base::strong_id<struct read_id_tag, std::uint64_t>;

} // namespace damaskladder::consensus
