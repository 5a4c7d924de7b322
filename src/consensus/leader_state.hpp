#pragma once

#include "base/byte_count.hpp"
#include "base/time.hpp"
#include "consensus/follower_progress.hpp"
#include "consensus/log_index.hpp"
#include "consensus/pending_proposal.hpp"
#include "consensus/pending_read.hpp"
#include "consensus/replica_id.hpp"
#include "consensus/round_number.hpp"

#include <deque>
#include <map>
#include <optional>

namespace damaskladder::consensus {

/// State that a replica has only while it leads.
struct leader_state {
    std::map<replica_id, follower_progress> followers;
    std::deque<pending_proposal> proposals;
    std::deque<pending_read> reads;
    /// Newest heartbeat round begun, and newest one that a quorum answered.
    round_number round;
    round_number confirmed_round;
    /// First entry of the leader's own term. Until it is committed, the commit index may lag behind
    /// what earlier leaders committed, so reads and membership changes wait.
    log_index first_index_of_term;
    base::byte_count uncommitted;
    base::time_point next_heartbeat;
    std::optional<replica_identity> transfer_target;
    base::time_point transfer_deadline;
};

} // namespace damaskladder::consensus
