#pragma once

#include "base/attempt_id.hpp"
#include "base/node_id.hpp"
#include "control/claim_state.hpp"
#include "control/content_hash.hpp"

#include <optional>
#include <vector>

namespace damaskladder::control {

/// State of a non-idempotent request in the claim table.
struct claim_record {
    claim_state state = claim_state::free;
    /// Attempt that holds or completed the claim, and its node; empty if the claim is free.
    base::attempt_id attempt;
    base::node_id node;
    /// Set when the request is first claimed.
    std::optional<content_hash> content;
    /// Attempts that released the claim. A claim request of theirs that arrives late must not be
    /// granted, since nobody would run or release it.
    std::vector<base::attempt_id> released;

    friend bool operator==(const claim_record&, const claim_record&) = default;
};

} // namespace damaskladder::control
