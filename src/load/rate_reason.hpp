#pragma once

#include <string_view>

namespace damaskladder::load {

/// Value of http::header_names::reason of a refusal because the workspace exceeded its rate.
inline constexpr std::string_view rate_reason = "rate";

} // namespace damaskladder::load
