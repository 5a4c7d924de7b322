#pragma once

#include "propagation/read_id.hpp"
#include "propagation/send.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace damaskladder::propagation {

/// Actions for the caller to perform after an event.
struct effects {
    std::vector<send> sends;
    /// Only from a source: start a read confirmation now, and report its result with
    /// read_confirmed() or read_failed().
    std::optional<read_id> confirm;
    /// Only from a source: number of polls that stay unanswered because the read for them was not
    /// confirmed.
    std::size_t unanswered_polls = 0;
    /// A newer version was applied.
    bool version_changed = false;
};

} // namespace damaskladder::propagation
