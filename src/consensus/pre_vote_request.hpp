#pragma once

#include "consensus/log_index.hpp"
#include "consensus/term_number.hpp"

namespace damaskladder::consensus {

/// Asks whether a vote would be granted. Changes nothing at the receiver.
struct pre_vote_request {
    /// The term that the sender would campaign in.
    term_number term;
    log_index last_index;
    term_number last_term;
    /// The sender knows no configuration and wants to form the cluster.
    bool bootstrap = false;

    friend bool operator==(const pre_vote_request&, const pre_vote_request&) = default;
};

} // namespace damaskladder::consensus
