#pragma once

#include "consensus/term_number.hpp"

namespace damaskladder::consensus {

/// Asks the receiver, whose log equals the leader's, to start an election immediately.
struct timeout_now {
    term_number term;

    friend bool operator==(const timeout_now&, const timeout_now&) = default;
};

} // namespace damaskladder::consensus
