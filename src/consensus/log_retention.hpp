#pragma once

#include "base/byte_count.hpp"

#include <cstdint>

namespace damaskladder::consensus {

/// How much of the log stays in memory once a snapshot covers it; whichever limit is reached first.
struct log_retention {
    std::uint64_t max_entries = 1'000;
    base::byte_count max_bytes{4 << 20};
};

} // namespace damaskladder::consensus
