#pragma once

#include "consensus/log_index.hpp"
#include "consensus/term_number.hpp"

namespace damaskladder::consensus {

/// Asks whether a vote would be granted. Does not change the receiver's state.
struct pre_vote_request {
    /// Term in which the sender would campaign.
    term_number term;
    log_index last_index;
    term_number last_term;
    /// The sender knows no configuration and wants to bootstrap the cluster.
    bool bootstrap = false;

    friend bool operator==(const pre_vote_request&, const pre_vote_request&) = default;
};

} // namespace damaskladder::consensus
