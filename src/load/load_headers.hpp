#pragma once

#include <string_view>

namespace damaskladder::load {

/// Header fields that the load tool sends or reads, see docs/design.md section 2.
namespace load_headers {
inline constexpr std::string_view key = "Damaskladder-Key";
inline constexpr std::string_view request_id = "Idempotency-Key";
inline constexpr std::string_view importance = "Damaskladder-Importance";
inline constexpr std::string_view outcome = "Damaskladder-Outcome";
inline constexpr std::string_view reason = "Damaskladder-Reason";
} // namespace load_headers

/// Value of load_headers::reason of a refusal because the workspace exceeded its rate.
inline constexpr std::string_view rate_reason = "rate";

} // namespace damaskladder::load
