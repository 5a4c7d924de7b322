#pragma once

#include "consensus/log_index.hpp"
#include "consensus/segment_number.hpp"

namespace damaskladder::consensus {

/// Segment file in the data folder.
struct stored_segment {
    segment_number number;
    /// Largest index of its entries; 0 if it has none.
    log_index max_index;
};

} // namespace damaskladder::consensus
