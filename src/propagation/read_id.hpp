#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::propagation {

/// Identifies a read confirmation that a source requests from its replica.
using read_id = base::strong_id<struct read_id_tag, std::uint64_t>;

} // namespace damaskladder::propagation
