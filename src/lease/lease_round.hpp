#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::lease {

/// Numbers the rounds of asks that one incarnation of a candidate sends.
using lease_round = base::strong_id<struct lease_round_tag, std::uint64_t>;

} // namespace damaskladder::lease
