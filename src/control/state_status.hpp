#pragma once

#include "base/settings_version.hpp"
#include "base/time.hpp"
#include "control/audit_anchor.hpp"
#include "control/log_position.hpp"

#include <cstddef>

namespace damaskladder::control {

/// Summary of the state for operators.
struct state_status {
    log_position position;
    base::wall_time time;
    base::settings_version version;
    std::size_t entries = 0;
    std::size_t credentials = 0;
    std::size_t pending_proposals = 0;
    std::size_t claims = 0;
    /// Position of the newest audit record; audit files are verified up to this record.
    audit_anchor audit_head;
};

} // namespace damaskladder::control
