#pragma once

#include "base/byte_count.hpp"
#include "consensus/recovered_state.hpp"
#include "consensus/stored_segment.hpp"

#include <optional>
#include <vector>

namespace damaskladder::consensus {

/// What a data folder holds after recovery.
struct recovered_folder {
    recovered_state state;
    /// In order; the last one is continued.
    std::vector<stored_segment> segments;
    /// Size of the last segment, all of it synced.
    base::byte_count last_segment_size;
    /// The first segment that is in force.
    segment_number first_segment;
};

} // namespace damaskladder::consensus
