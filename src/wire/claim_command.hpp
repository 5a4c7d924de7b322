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
    /// The gatekeeper, and where it takes the answer. A replica that does not lead passes the
    /// command on to the leader.
    base::node_id origin;
    base::message_address reply_to;
    std::variant<claims::claim, claims::claim_release, claims::claim_complete> submission;
};

} // namespace damaskladder::wire
