#pragma once

#include "consensus/log_index.hpp"
#include "consensus/read_id.hpp"

namespace damaskladder::consensus {

/// A quorum confirmed that this replica was leader after the read arrived. All entries committed
/// before the read arrived have been passed to the state machine by earlier effects.
struct read_confirmed {
    read_id id;
    log_index read_index;
};

} // namespace damaskladder::consensus
