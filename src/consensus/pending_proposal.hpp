#pragma once

#include "consensus/log_index.hpp"
#include "consensus/proposal_id.hpp"

namespace damaskladder::consensus {

/// Proposal that is in the log but not committed yet.
struct pending_proposal {
    log_index index;
    proposal_id id;
};

} // namespace damaskladder::consensus
