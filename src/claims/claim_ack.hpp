#pragma once

#include "base/attempt_id.hpp"
#include "base/sequence_number.hpp"

namespace damaskladder::claims {

/// The log has applied the release or completion of an attempt, or had nothing to change.
struct claim_ack {
    base::attempt_id attempt;
    /// Sequence number of the acknowledged submission of the attempt.
    base::sequence_number sequence;

    friend bool operator==(const claim_ack&, const claim_ack&) = default;
};

} // namespace damaskladder::claims
