#pragma once

#include <compare>
#include <cstdint>

namespace damaskladder::base {

/// Order in which requests are shed: the lowest value first.
enum class importance : std::uint8_t { background = 0, low = 1, normal = 2, critical = 3 };

/// Number of importance levels.
inline constexpr int importance_levels = 4;

} // namespace damaskladder::base
