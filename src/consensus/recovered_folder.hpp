#pragma once

#include "base/byte_count.hpp"
#include "consensus/recovered_state.hpp"
#include "consensus/stored_segment.hpp"

#include <optional>
#include <vector>

namespace damaskladder::consensus {

/// Content of a data folder after recovery.
struct recovered_folder {
    recovered_state state;
    /// In ascending order; the last one is appended to.
    std::vector<stored_segment> segments;
    /// Size of the last segment; all of it is synced.
    base::byte_count last_segment_size;
    /// First segment that is not superseded by a snapshot.
    segment_number first_segment;
};

} // namespace damaskladder::consensus
