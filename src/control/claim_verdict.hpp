#pragma once

#include <cstdint>
#include <string_view>

namespace damaskladder::control {

/// What became of a claim, release or completion.
enum class claim_verdict : std::uint8_t {
    /// The attempt, and no other, may run the request.
    granted,
    /// Another attempt holds the claim; whether it has run is unknown.
    held,
    /// An attempt has run.
    done,
    /// The attempt gave up the claim before.
    released,
    /// The id was used for another content.
    other_content,
    /// The id's time is outside of the retention period.
    too_old,
    too_far_ahead,
    /// The id is not "<unix seconds>-<opaque>", or a name is too long.
    malformed,
    table_full,
    /// Release or completion by an attempt that does not hold the claim; the claim stands.
    not_held,
    /// The log position was applied before.
    out_of_order,
};

inline constexpr std::uint8_t claim_verdict_count = 11;

/// Stable lower-case name.
std::string_view to_string(claim_verdict verdict);

} // namespace damaskladder::control
