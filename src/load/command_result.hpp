#pragma once

#include "load/cause_name.hpp"
#include "load/run_offset.hpp"

namespace damaskladder::load {

/// Result of one command of the experiment.
struct command_result {
    cause_name name;
    run_offset at{0};
    /// HTTP status of the response; 0 if there was no complete response.
    int status = 0;
};

} // namespace damaskladder::load
