#pragma once

#include <cstdint>

namespace damaskladder::lease {

/// A voter's answer to an ask.
enum class lease_verdict : std::uint8_t {
    granted,
    /// Another candidate, or another incarnation of this one, has the grant.
    held,
    /// The voter started too recently to know what it granted before.
    abstaining,
    /// The voter knows a later incarnation of the candidate.
    earlier_incarnation,
    /// The epoch was given up, or is new and not larger than one that the voter already granted.
    stale_epoch,
};

} // namespace damaskladder::lease
