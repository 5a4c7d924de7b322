#pragma once

#include <cstddef>

namespace damaskladder::settings {

/// Longest value, in characters; a list of 20 workspaces with the longest names fits.
inline constexpr std::size_t max_value_length = 1000;

} // namespace damaskladder::settings
