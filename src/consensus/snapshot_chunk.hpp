#pragma once

#include "base/byte_count.hpp"
#include "consensus/configuration.hpp"
#include "consensus/log_index.hpp"
#include "consensus/round_number.hpp"
#include "consensus/term_number.hpp"

#include <string>

namespace damaskladder::consensus {

/// Part of a snapshot, sent by the leader to a replica whose next entry has been discarded from the
/// leader's log.
struct snapshot_chunk {
    term_number term;
    log_index last_index;
    term_number last_term;
    configuration members;
    base::byte_count total;
    base::byte_count offset;
    std::string data;
    round_number round;

    friend bool operator==(const snapshot_chunk&, const snapshot_chunk&) = default;
};

} // namespace damaskladder::consensus
