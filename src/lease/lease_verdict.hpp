#pragma once

#include <cstdint>

namespace damaskladder::lease {

/// A voter's decision on a lease_request.
enum class lease_verdict : std::uint8_t {
    granted,
    /// Another candidate, or another incarnation of this one, holds the grant.
    held,
    /// Grants that the voter issued before its last start may still be valid.
    abstaining,
    /// The voter knows a later incarnation of the candidate.
    earlier_incarnation,
    /// The epoch was released, or is new and not larger than one that the voter already granted.
    stale_epoch,
};

} // namespace damaskladder::lease
