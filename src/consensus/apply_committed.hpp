#pragma once

#include "consensus/entry.hpp"
#include "consensus/proposal_id.hpp"

#include <optional>

namespace damaskladder::consensus {

/// Apply this entry to the state machine. Effects are emitted in log order, each index once per run
/// of the replica.
struct apply_committed {
    entry committed;
    /// Set if this replica accepted the proposal as leader and has been leader ever since.
    std::optional<proposal_id> proposal;
};

} // namespace damaskladder::consensus
