#pragma once

#include "base/result.hpp"
#include "control/control_state.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace damaskladder::control {

/// Deterministic: equal states give equal bytes.
std::vector<std::uint8_t> encode_snapshot(const control_state& state);

/// Decodes into a newly constructed state. Fails with corrupt if the bytes are not a snapshot or
/// its settings fail validation; the state is then partially filled and must be discarded.
base::result<void> decode_snapshot(std::span<const std::uint8_t> bytes, control_state& state);

} // namespace damaskladder::control
