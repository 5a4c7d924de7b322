#pragma once

#include "base/message_address.hpp"
#include "base/node_id.hpp"
#include "claims/claim.hpp"
#include "claims/claim_complete.hpp"
#include "claims/claim_release.hpp"

#include <variant>

namespace damaskladder::wire {

/// Message: a gatekeeper's submission to the replicated log, sent to the leader.
struct claim_command {
    /// The gatekeeper, and the address for the response. A replica that is not the leader forwards
    /// the command to the leader.
    base::node_id origin;
    base::message_address reply_to;
    std::variant<claims::claim, claims::claim_release, claims::claim_complete> submission;
};

} // namespace damaskladder::wire
