#pragma once

#include "base/byte_count.hpp"
#include "consensus/log_index.hpp"
#include "consensus/round_number.hpp"
#include "consensus/term_number.hpp"

namespace damaskladder::consensus {

struct snapshot_reply {
    term_number term;
    log_index last_index;
    /// Offset of the next chunk to send.
    base::byte_count next_offset;
    /// The complete snapshot is synced; next_offset is meaningless.
    bool installed = false;
    round_number round;

    friend bool operator==(const snapshot_reply&, const snapshot_reply&) = default;
};

} // namespace damaskladder::consensus
