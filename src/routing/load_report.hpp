#pragma once

#include "base/slot_count.hpp"
#include "base/time.hpp"

namespace damaskladder::routing {

/// Load of a backend server, as its gatekeeper reports it with each answer.
struct load_report {
    /// Running and queued calls.
    base::slot_count busy;
    /// Maximum number of concurrent calls.
    base::slot_count limit;
    /// Typical time for which a call occupies a slot, without waiting at the gatekeeper; zero if
    /// unknown.
    base::duration run_time{};

    friend bool operator==(const load_report&, const load_report&) = default;
};

} // namespace damaskladder::routing
