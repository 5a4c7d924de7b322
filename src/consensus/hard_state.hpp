#pragma once

#include "consensus/replica_identity.hpp"
#include "consensus/term_number.hpp"

#include <optional>

namespace damaskladder::consensus {

/// What a replica must remember about elections before it answers anything.
struct hard_state {
    term_number term;
    /// The identity that got this replica's vote in the term.
    std::optional<replica_identity> vote;

    friend bool operator==(const hard_state&, const hard_state&) = default;
};

} // namespace damaskladder::consensus
