#pragma once

#include "consensus/term_number.hpp"

namespace damaskladder::consensus {

/// The leadership transfer failed: no other voter took over within an election timeout. This
/// replica remains leader.
struct transfer_abandoned {
    term_number term;
};

} // namespace damaskladder::consensus
