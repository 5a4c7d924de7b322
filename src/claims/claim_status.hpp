#pragma once

#include <cstdint>

namespace damaskladder::claims {

/// The log's answer to a claim.
enum class claim_status : std::uint8_t {
    granted,
    /// Another attempt has the claim, and may be running.
    held_running,
    /// The request was answered.
    held_done,
    /// The id's time is too long ago for the log to know whether it ran.
    too_old,
    /// The id was used for a request with other content.
    conflict,
};

} // namespace damaskladder::claims
