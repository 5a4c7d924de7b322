#pragma once

#include <cstdint>

namespace damaskladder::consensus {

/// Outcome of a simulated crash for bytes that were written but not synced. lost: all are dropped;
/// half: the first half remains; zeroed: the file keeps its length and the bytes read as zeros;
/// kept: all remain, and so do unsynced file names.
enum class unsynced_data : std::uint8_t { lost, half, zeroed, kept };

} // namespace damaskladder::consensus
