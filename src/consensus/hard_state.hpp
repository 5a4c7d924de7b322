#pragma once

#include "consensus/replica_identity.hpp"
#include "consensus/term_number.hpp"

#include <optional>

namespace damaskladder::consensus {

/// Election state that must be durable before a replica replies to any message.
struct hard_state {
    term_number term;
    /// Identity that received this replica's vote in the term.
    std::optional<replica_identity> vote;

    friend bool operator==(const hard_state&, const hard_state&) = default;
};

} // namespace damaskladder::consensus
