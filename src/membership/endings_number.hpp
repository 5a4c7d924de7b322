#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::membership {

/// Orders the lists of run endings that one process of a node publishes; 0 before the first.
using endings_number = base::strong_id<struct endings_number_tag, std::uint64_t>;

} // namespace damaskladder::membership
