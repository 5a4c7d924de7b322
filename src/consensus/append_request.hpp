#pragma once

#include "consensus/entry.hpp"
#include "consensus/log_index.hpp"
#include "consensus/round_number.hpp"
#include "consensus/term_number.hpp"

#include <vector>

namespace damaskladder::consensus {

/// Replicates entries from the leader; a request without entries is a heartbeat.
struct append_request {
    term_number term;
    log_index previous_index;
    term_number previous_term;
    log_index commit_index;
    /// Latest heartbeat round started by the leader when it sent this request.
    round_number round;
    std::vector<entry> entries;

    friend bool operator==(const append_request&, const append_request&) = default;
};

} // namespace damaskladder::consensus
