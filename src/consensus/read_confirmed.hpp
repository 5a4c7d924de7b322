#pragma once

#include "consensus/log_index.hpp"
#include "consensus/read_id.hpp"

namespace damaskladder::consensus {

/// This replica led when a quorum was asked, after the read arrived. All entries that were
/// committed before that moment have been given to the state machine by earlier effects.
struct read_confirmed {
    read_id id;
    log_index read_index;
};

} // namespace damaskladder::consensus
