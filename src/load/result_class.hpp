#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace damaskladder::load {

/// What became of one request, as its caller saw it.
enum class result_class : std::uint8_t {
    /// A complete answer with status 2xx.
    success,
    /// A refusal that says that the request did not run.
    refused_not_run,
    /// A refusal that says that it is not known whether the request ran.
    refused_unknown,
    /// A complete answer with another status and no Damaskladder-Outcome, or with one that is
    /// neither word.
    other_status,
    /// The connection broke before the answer was complete.
    broken,
    /// No connection could be made.
    not_connected,
    /// No complete answer within the timeout.
    timed_out,
    /// Not sent, because max_outstanding requests were waiting.
    withheld,
};

inline constexpr std::size_t result_classes = 8;

inline constexpr std::array<result_class, result_classes> all_result_classes = {
    result_class::success,      result_class::refused_not_run, result_class::refused_unknown,
    result_class::other_status, result_class::broken,          result_class::not_connected,
    result_class::timed_out,    result_class::withheld};

/// Stable lower-case name.
std::string_view to_string(result_class result);

} // namespace damaskladder::load
