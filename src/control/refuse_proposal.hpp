#pragma once

#include "control/command_header.hpp"
#include "control/proposal_id.hpp"

#include <string>

namespace damaskladder::control {

/// Closes a proposal without applying it. The proposer may also use this to withdraw it.
struct refuse_proposal {
    command_header header;
    proposal_id proposal;
    /// 1 to 500 bytes of text.
    std::string reason;

    friend bool operator==(const refuse_proposal&, const refuse_proposal&) = default;
};

} // namespace damaskladder::control
