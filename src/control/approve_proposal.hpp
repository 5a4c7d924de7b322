#pragma once

#include "control/command_header.hpp"
#include "control/proposal_id.hpp"

namespace damaskladder::control {

/// Approves a proposal and applies its difference.
struct approve_proposal {
    command_header header;
    proposal_id proposal;

    friend bool operator==(const approve_proposal&, const approve_proposal&) = default;
};

} // namespace damaskladder::control
