#pragma once

#include <cstdint>

namespace damaskladder::consensus {

/// Result of the integrity check of a segment file. torn_tail: the invalid end was being written
/// during a crash and had never been synced. corrupted: data that had been synced cannot be read.
enum class segment_integrity : std::uint8_t { intact, torn_tail, corrupted };

} // namespace damaskladder::consensus
