#pragma once

#include "consensus/proposal.hpp"

#include <vector>

namespace damaskladder::consensus {

/// Proposes commands, to be appended in this order. Each produces exactly one apply_committed or
/// refused effect.
struct propose {
    std::vector<proposal> proposals;
};

} // namespace damaskladder::consensus
