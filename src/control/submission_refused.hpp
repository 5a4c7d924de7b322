#pragma once

#include "consensus/refusal_reason.hpp"
#include "consensus/replica_id.hpp"
#include "control/submission_id.hpp"

#include <optional>

namespace damaskladder::control {

/// Effect: the command or query was not executed, or its outcome is unknown; see the reason.
struct submission_refused {
    submission_id id;
    consensus::refusal_reason reason = consensus::refusal_reason::not_leader;
    std::optional<consensus::replica_id> known_leader;
};

} // namespace damaskladder::control
