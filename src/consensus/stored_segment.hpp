#pragma once

#include "consensus/log_index.hpp"
#include "consensus/segment_number.hpp"

namespace damaskladder::consensus {

/// A segment file in the data folder.
struct stored_segment {
    segment_number number;
    /// Largest index of an entry in it; 0 if there is none.
    log_index max_index;
};

} // namespace damaskladder::consensus
