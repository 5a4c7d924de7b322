#pragma once

#include <cstdint>
#include <string_view>

namespace damaskladder::control {

/// Outcome of a claim request, release or completion.
enum class claim_verdict : std::uint8_t {
    /// The attempt has the exclusive right to run the request.
    granted,
    /// Another attempt holds the claim; whether it has run is unknown.
    held,
    /// An attempt has run the request.
    done,
    /// The attempt has released the claim.
    released,
    /// The id was already used with different content.
    other_content,
    /// The time in the id is outside the retention period.
    too_old,
    too_far_ahead,
    /// The id is not "<unix seconds>-<opaque>", or a name is too long.
    malformed,
    table_full,
    /// Release or completion by an attempt that does not hold the claim; the holder keeps it.
    not_held,
    /// The log position has already been applied.
    out_of_order,
};

inline constexpr std::uint8_t claim_verdict_count = 11;

/// Stable lower-case name.
std::string_view to_string(claim_verdict verdict);

} // namespace damaskladder::control
