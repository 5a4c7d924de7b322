#pragma once

#include <cstdint>

namespace damaskladder::consensus {

/// Whether a segment file can be used. torn_tail: the end was being written during a crash and was
/// never synced. damaged: something that had been synced cannot be read.
enum class segment_integrity : std::uint8_t { intact, torn_tail, corrupted };

} // namespace damaskladder::consensus
