#pragma once

#include "consensus/proposal.hpp"

#include <vector>

namespace damaskladder::consensus {

/// Appends commands in this order. Each ends with one apply_committed or one refused effect.
struct propose {
    std::vector<proposal> proposals;
};

} // namespace damaskladder::consensus
