#pragma once

#include "control/proposal.hpp"

namespace damaskladder::control {

/// Lists a proposal; its id is the position of the command.
struct open_proposal_effect {
    proposal opened;
};

} // namespace damaskladder::control
