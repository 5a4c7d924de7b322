#pragma once

#include "consensus/entry.hpp"
#include "consensus/proposal_id.hpp"

#include <optional>

namespace damaskladder::consensus {

/// Apply this entry; effects arrive in log order, each index once per run of the replica.
struct apply_committed {
    entry committed;
    /// Set where this replica accepted the proposal and has led ever since.
    std::optional<proposal_id> proposal;
};

} // namespace damaskladder::consensus
