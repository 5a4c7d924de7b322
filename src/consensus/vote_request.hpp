#pragma once

#include "consensus/log_index.hpp"
#include "consensus/term_number.hpp"

namespace damaskladder::consensus {

struct vote_request {
    term_number term;
    log_index last_index;
    term_number last_term;
    /// The sender knows no configuration and wants to bootstrap the cluster.
    bool bootstrap = false;
    /// The leader asked the sender to take over, so the receiver must not refuse because it still
    /// hears that leader.
    bool transfer = false;

    friend bool operator==(const vote_request&, const vote_request&) = default;
};

} // namespace damaskladder::consensus
