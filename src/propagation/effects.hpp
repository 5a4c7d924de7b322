#pragma once

#include "propagation/read_id.hpp"
#include "propagation/send.hpp"

#include <optional>
#include <vector>

namespace damaskladder::propagation {

/// What the caller has to do after an event.
struct effects {
    std::vector<send> sends;
    /// Only from a source: begin a read confirmation now, and report it with read_confirmed().
    std::optional<read_id> confirm;
    /// A newer version came into force.
    bool version_changed = false;
};

} // namespace damaskladder::propagation
