#pragma once

#include "base/attempt_id.hpp"
#include "base/request_id.hpp"
#include "base/sequence_number.hpp"
#include "base/workspace_id.hpp"

namespace damaskladder::claims {

/// Reports to the log that the attempt's answer is known. The claim is kept and marked as done.
struct claim_complete {
    base::workspace_id workspace;
    base::request_id request;
    base::attempt_id attempt;
    /// Numbers the releases and completions of the attempt; echoed in the ack.
    base::sequence_number sequence;

    friend bool operator==(const claim_complete&, const claim_complete&) = default;
};

} // namespace damaskladder::claims
