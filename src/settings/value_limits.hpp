#pragma once

#include <cstddef>

namespace damaskladder::settings {

/// Maximum length of a value in characters; fits a list of 20 workspaces with names of maximum
/// length.
inline constexpr std::size_t max_value_length = 1000;

} // namespace damaskladder::settings
