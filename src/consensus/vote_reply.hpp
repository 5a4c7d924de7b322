#pragma once

#include "consensus/term_number.hpp"

namespace damaskladder::consensus {

/// Sent only after the vote is synced.
struct vote_reply {
    /// Current term of the sender.
    term_number term;
    bool granted = false;

    friend bool operator==(const vote_reply&, const vote_reply&) = default;
};

} // namespace damaskladder::consensus
