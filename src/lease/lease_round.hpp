#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::lease {

/// Number of a round of requests sent by one incarnation of a candidate.
using lease_round = base::strong_id<struct lease_round_tag, std::uint64_t>;

} // namespace damaskladder::lease
