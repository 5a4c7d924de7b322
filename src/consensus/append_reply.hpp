#pragma once

#include "consensus/log_index.hpp"
#include "consensus/round_number.hpp"
#include "consensus/term_number.hpp"

namespace damaskladder::consensus {

struct append_reply {
    term_number term;
    /// False if the sender's log lacks the entry that precedes those of the request.
    bool accepted = false;
    /// If accepted: the sender has synced all entries up to this index, and they equal the
    /// leader's.
    log_index match_index;
    /// previous_index of the request.
    log_index previous_index;
    /// If rejected: index from which the leader should send next.
    log_index next_hint;
    /// Heartbeat round of the request.
    round_number round;

    friend bool operator==(const append_reply&, const append_reply&) = default;
};

} // namespace damaskladder::consensus
