#pragma once

#include "consensus/proposal_id.hpp"
#include "consensus/read_id.hpp"
#include "consensus/refusal_reason.hpp"
#include "consensus/replica_id.hpp"

#include <optional>
#include <variant>

namespace damaskladder::consensus {

/// A request was not executed, or its outcome is unknown; see reason.
struct refused {
    std::variant<proposal_id, read_id> request;
    refusal_reason reason = refusal_reason::not_leader;
    std::optional<replica_id> known_leader;
};

} // namespace damaskladder::consensus
