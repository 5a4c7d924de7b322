#pragma once

#include "consensus/term_number.hpp"

namespace damaskladder::consensus {

/// Asks the receiver, which has the leader's whole log, to campaign at once.
struct timeout_now {
    term_number term;

    friend bool operator==(const timeout_now&, const timeout_now&) = default;
};

} // namespace damaskladder::consensus
