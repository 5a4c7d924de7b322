#pragma once

#include "consensus/term_number.hpp"

namespace damaskladder::consensus {

/// This replica was elected.
struct became_leader {
    term_number term;
};

} // namespace damaskladder::consensus
