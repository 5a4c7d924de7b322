#pragma once

#include "propagation/read_id.hpp"
#include "propagation/send.hpp"

#include <optional>
#include <vector>

namespace damaskladder::propagation {

/// Actions for the caller to perform after an event.
struct effects {
    std::vector<send> sends;
    /// Only from a source: start a read confirmation now, and report its result with
    /// read_confirmed() or read_failed().
    std::optional<read_id> confirm;
    /// A newer version was applied.
    bool version_changed = false;
};

} // namespace damaskladder::propagation
