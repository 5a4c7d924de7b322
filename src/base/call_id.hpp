#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::base {

/// Id of one call in a call chain, unique on the node that issued it.
using call_id = strong_id<struct call_id_tag, std::uint64_t>;

} // namespace damaskladder::base
