#pragma once

#include "base/result.hpp"
#include "control/control_state.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace damaskladder::control {

/// Equal states give equal bytes.
std::vector<std::uint8_t> encode_snapshot(const control_state& state);

/// Fills a new state. Fails with corrupt if the bytes are not a snapshot, or if the settings in it
/// do not pass the checks; the state is then in part filled and of no use.
base::result<void> decode_snapshot(std::span<const std::uint8_t> bytes, control_state& state);

} // namespace damaskladder::control
