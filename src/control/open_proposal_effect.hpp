#pragma once

#include "control/proposal.hpp"

namespace damaskladder::control {

/// Adds a pending proposal; its id is the log position of the command.
struct open_proposal_effect {
    proposal opened;
};

} // namespace damaskladder::control
