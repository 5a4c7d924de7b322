#pragma once

#include "consensus/segment_number.hpp"
#include "consensus/snapshot.hpp"

#include <memory>

namespace damaskladder::consensus {

/// Content of a snapshot file.
struct stored_snapshot {
    std::shared_ptr<const snapshot> content;
    /// Segments before this one are obsolete. Stored in the same file as the snapshot, so that the
    /// snapshot and the removal of the old segments take effect atomically.
    segment_number first_segment;
};

} // namespace damaskladder::consensus
