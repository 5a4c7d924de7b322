#pragma once

#include <string_view>

namespace damaskladder::load {

/// Value of the header http::header_names::reason when a request is refused because its workspace
/// exceeded its rate.
inline constexpr std::string_view rate_reason = "rate";

} // namespace damaskladder::load
