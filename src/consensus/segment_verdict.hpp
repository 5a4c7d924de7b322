#pragma once

#include <cstdint>

namespace damaskladder::consensus {

/// Whether a segment file can be used. torn_tail: the end was being written during a crash and was
/// never synced. damaged: something that had been synced cannot be read.
enum class segment_verdict : std::uint8_t { whole, torn_tail, damaged };

} // namespace damaskladder::consensus
