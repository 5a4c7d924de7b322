#pragma once

#include "claims/claim_ack.hpp"
#include "claims/claim_reply.hpp"

#include <variant>

namespace damaskladder::wire {

/// Message: result of a claim_command, as decided by the replicated log.
using claim_response = std::variant<claims::claim_reply, claims::claim_ack>;

} // namespace damaskladder::wire
