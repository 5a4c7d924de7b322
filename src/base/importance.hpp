#pragma once

#include <compare>
#include <cstdint>

namespace damaskladder::base {

/// Importance level of a request. Under overload, requests with the lowest value are shed first.
enum class importance : std::uint8_t { background = 0, low = 1, normal = 2, critical = 3 };

inline constexpr int importance_levels = 4;

} // namespace damaskladder::base
