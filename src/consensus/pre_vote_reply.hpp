#pragma once

#include "consensus/term_number.hpp"

namespace damaskladder::consensus {

struct pre_vote_reply {
    /// Current term of the sender.
    term_number term;
    /// Term of the request.
    term_number requested_term;
    bool granted = false;
    /// The sender knows a configuration, so a bootstrap cannot succeed.
    bool cluster_exists = false;

    friend bool operator==(const pre_vote_reply&, const pre_vote_reply&) = default;
};

} // namespace damaskladder::consensus
