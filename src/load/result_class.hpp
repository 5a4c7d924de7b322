#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace damaskladder::load {

/// Result of one request from the point of view of its caller.
enum class result_class : std::uint8_t {
    /// A complete response with status 2xx.
    success,
    /// Refused, with the guarantee that the request did not run.
    refused_not_run,
    /// Refused, and it is unknown whether the request ran.
    refused_unknown,
    /// A complete response that is none of the above: another status without the header
    /// Damaskladder-Outcome, or any status with an unrecognised value of it.
    other_status,
    /// The connection was lost before the response was complete.
    broken,
    /// No connection could be made.
    not_connected,
    /// No complete response within the timeout.
    timed_out,
    /// Not sent, because max_outstanding requests were outstanding.
    withheld,
};

inline constexpr std::size_t result_classes = 8;

inline constexpr std::array<result_class, result_classes> all_result_classes = {
    result_class::success,      result_class::refused_not_run, result_class::refused_unknown,
    result_class::other_status, result_class::broken,          result_class::not_connected,
    result_class::timed_out,    result_class::withheld};

/// Returns the lower-case name used in reports.
std::string_view to_string(result_class result);

} // namespace damaskladder::load
