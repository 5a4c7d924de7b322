#pragma once

#include <cstdint>

namespace damaskladder::consensus {

/// What a crash leaves of bytes that were written but not synced. lost: nothing; half: the first
/// half; zeroed: their place, filled with zeros; kept: everything, unsynced names too.
enum class unsynced_data : std::uint8_t { lost, half, zeroed, kept };

} // namespace damaskladder::consensus
