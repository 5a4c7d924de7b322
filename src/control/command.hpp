#pragma once

#include "control/advance_time.hpp"
#include "control/approve_proposal.hpp"
#include "control/change_settings.hpp"
#include "control/claim_request.hpp"
#include "control/complete_claim.hpp"
#include "control/create_credential.hpp"
#include "control/propose_settings.hpp"
#include "control/refuse_proposal.hpp"
#include "control/release_claim.hpp"
#include "control/remove_credential.hpp"
#include "control/set_evacuation.hpp"
#include "control/withdraw_key.hpp"

#include <variant>

namespace damaskladder::control {

/// A command in the replicated log. The order of alternatives is part of the stored format: append
/// only.
using command = std::variant<advance_time, change_settings, propose_settings, approve_proposal,
                             refuse_proposal, withdraw_key, create_credential, remove_credential,
                             claim_request, release_claim, complete_claim, set_evacuation>;

/// Header of an operator's command; null for other commands.
const command_header* header_of(const command& entry);

} // namespace damaskladder::control
