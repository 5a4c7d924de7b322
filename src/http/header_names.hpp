#pragma once

#include <string_view>

namespace damaskladder::http {

/// Header fields of the HTTP interface, see docs/design.md section 2.
namespace header_names {
inline constexpr std::string_view prefix = "Damaskladder-";
inline constexpr std::string_view key = "Damaskladder-Key";
inline constexpr std::string_view authorization = "Authorization";
inline constexpr std::string_view request_id = "Idempotency-Key";
inline constexpr std::string_view importance = "Damaskladder-Importance";
inline constexpr std::string_view timeout = "Damaskladder-Timeout-Ms";
inline constexpr std::string_view idempotent = "Damaskladder-Idempotent";
inline constexpr std::string_view context = "Damaskladder-Context";
inline constexpr std::string_view service = "Damaskladder-Service";
inline constexpr std::string_view outcome = "Damaskladder-Outcome";
inline constexpr std::string_view reason = "Damaskladder-Reason";
inline constexpr std::string_view allowance_left = "Damaskladder-Allowance-Left";
inline constexpr std::string_view shed = "Damaskladder-Shed";
inline constexpr std::string_view load = "Damaskladder-Load";
inline constexpr std::string_view pressure = "Damaskladder-Pressure";
inline constexpr std::string_view retry_after = "Retry-After";
} // namespace header_names

} // namespace damaskladder::http
