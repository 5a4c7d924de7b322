#pragma once

#include "consensus/term_number.hpp"

namespace damaskladder::consensus {

/// No other voter took over within an election timeout; this replica leads on.
struct transfer_abandoned {
    term_number term;
};

} // namespace damaskladder::consensus
