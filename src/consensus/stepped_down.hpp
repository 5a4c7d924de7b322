#pragma once

#include "consensus/replica_id.hpp"
#include "consensus/term_number.hpp"

#include <optional>

namespace damaskladder::consensus {

/// This replica is no longer the leader of the term.
struct stepped_down {
    term_number term;
    std::optional<replica_id> known_leader;
};

} // namespace damaskladder::consensus
