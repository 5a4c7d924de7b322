#pragma once

#include "base/attempt_id.hpp"
#include "base/request_id.hpp"
#include "base/sequence_number.hpp"
#include "base/workspace_id.hpp"

namespace damaskladder::claims {

/// Reports to the log that the attempt certainly did not start. Frees the claim only if this
/// attempt holds it and it is not done.
struct claim_release {
    base::workspace_id workspace;
    base::request_id request;
    base::attempt_id attempt;
    /// Numbers the releases and completions of the attempt; echoed in the ack.
    base::sequence_number sequence;

    friend bool operator==(const claim_release&, const claim_release&) = default;
};

} // namespace damaskladder::claims
