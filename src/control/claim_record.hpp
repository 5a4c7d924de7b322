#pragma once

#include "base/attempt_id.hpp"
#include "base/node_id.hpp"
#include "control/claim_state.hpp"
#include "control/content_hash.hpp"

#include <optional>
#include <vector>

namespace damaskladder::control {

/// What is known of a non-idempotent request.
struct claim_record {
    claim_state state = claim_state::free;
    /// Holder, if held or done.
    base::attempt_id attempt;
    base::node_id node;
    /// Set by the first claim.
    std::optional<content_hash> content;
    /// Attempts that gave up. A claim of theirs that arrives late must not take hold, since nobody
    /// would run or release it.
    std::vector<base::attempt_id> released;

    friend bool operator==(const claim_record&, const claim_record&) = default;
};

} // namespace damaskladder::control
