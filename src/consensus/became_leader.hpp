#pragma once

#include "consensus/term_number.hpp"

namespace damaskladder::consensus {

/// This replica won the election of the term.
struct became_leader {
    term_number term;
};

} // namespace damaskladder::consensus
