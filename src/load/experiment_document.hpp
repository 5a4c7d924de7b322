#pragma once

#include "load/experiment.hpp"
#include "settings/settings_problem.hpp"

namespace damaskladder::load {

/// Result of parsing an experiment. The plan is usable only if there are no problems.
struct experiment_document {
    experiment plan;
    settings::settings_problems problems;
};

} // namespace damaskladder::load
