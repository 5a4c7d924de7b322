#pragma once

#include "base/slot_count.hpp"

namespace damaskladder::routing {

/// What a gatekeeper says of its backend server with each of its answers.
struct load_report {
    /// Calls that run or wait there.
    base::slot_count busy;
    /// Calls that may run there at a time.
    base::slot_count limit;

    friend bool operator==(const load_report&, const load_report&) = default;
};

} // namespace damaskladder::routing
