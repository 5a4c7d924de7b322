#pragma once

#include "consensus/log_index.hpp"
#include "consensus/proposal_id.hpp"

namespace damaskladder::consensus {

/// A proposal in the log that is not committed yet.
struct pending_proposal {
    log_index index;
    proposal_id id;
};

} // namespace damaskladder::consensus
