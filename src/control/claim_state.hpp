#pragma once

#include <cstdint>

namespace damaskladder::control {

/// State of a request in the claim table.
enum class claim_state : std::uint8_t { free, held, done };

inline constexpr std::uint8_t claim_state_count = 3;

} // namespace damaskladder::control
