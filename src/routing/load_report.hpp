#pragma once

#include "base/slot_count.hpp"

namespace damaskladder::routing {

/// Load of a backend server, as its gatekeeper reports it with each answer.
struct load_report {
    /// Running and queued calls.
    base::slot_count busy;
    /// Maximum number of concurrent calls.
    base::slot_count limit;

    friend bool operator==(const load_report&, const load_report&) = default;
};

} // namespace damaskladder::routing
