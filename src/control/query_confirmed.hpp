#pragma once

#include "control/submission_id.hpp"

namespace damaskladder::control {

/// Effect: this replica was confirmed as leader after the query arrived, so state() is up to date
/// for it.
struct query_confirmed {
    submission_id id;
};

} // namespace damaskladder::control
