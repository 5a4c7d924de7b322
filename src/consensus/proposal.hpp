#pragma once

#include "consensus/command.hpp"
#include "consensus/proposal_id.hpp"

namespace damaskladder::consensus {

/// A command to be replicated.
struct proposal {
    proposal_id id;
    command content;
};

} // namespace damaskladder::consensus
