#pragma once

#include "control/proposal_id.hpp"
#include "control/proposal_state.hpp"

#include <string>

namespace damaskladder::control {

struct close_proposal_effect {
    proposal_id id;
    proposal_state state = proposal_state::refused;
    std::string reason;
};

} // namespace damaskladder::control
