#pragma once

#include "control/reply.hpp"
#include "control/submission_id.hpp"

namespace damaskladder::control {

/// Effect: the command was committed and applied, with this reply.
struct submission_answered {
    submission_id id;
    reply answer;
};

} // namespace damaskladder::control
