#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::base {

/// Id shared by all calls that result from one request of a caller.
using chain_id = strong_id<struct chain_id_tag, std::uint64_t>;

} // namespace damaskladder::base
