#pragma once

#include "base/message_address.hpp"
#include "claims/claim.hpp"
#include "claims/claim_complete.hpp"
#include "claims/claim_release.hpp"

#include <variant>

namespace damaskladder::wire {

/// Message: a gatekeeper's submission to the replicated log, sent to the leader.
struct claim_command {
    /// Where to send the answer.
    base::message_address from;
    std::variant<claims::claim, claims::claim_release, claims::claim_complete> submission;
};

} // namespace damaskladder::wire
