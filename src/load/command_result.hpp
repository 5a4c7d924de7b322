#pragma once

#include "load/cause_name.hpp"
#include "load/run_offset.hpp"

namespace damaskladder::load {

/// What became of one command of the experiment.
struct command_result {
    cause_name name;
    run_offset at{0};
    /// Status of the answer, 0 if no whole answer came.
    int status = 0;
};

} // namespace damaskladder::load
