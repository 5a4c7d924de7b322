#pragma once

#include "control/submission_id.hpp"

namespace damaskladder::control {

/// Effect: this replica led after the query arrived, so state() answers it now.
struct query_confirmed {
    submission_id id;
};

} // namespace damaskladder::control
