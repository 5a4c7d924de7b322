#pragma once

#include <cstdint>

namespace damaskladder::claims {

/// The log's answer to a claim.
enum class claim_status : std::uint8_t {
    granted,
    /// Another attempt holds the claim and may be running.
    held_running,
    /// The request was answered.
    held_done,
    /// The time in the id is beyond the log's retention, so the log does not know whether the
    /// request ran.
    too_old,
    /// The id was used for a request with different content.
    conflict,
};

} // namespace damaskladder::claims
