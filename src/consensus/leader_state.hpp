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

/// State that exists only while the replica is leader.
struct leader_state {
    std::map<replica_id, follower_progress> followers;
    std::deque<pending_proposal> proposals;
    std::deque<pending_read> reads;
    /// Latest heartbeat round started, and latest round acknowledged by a quorum.
    round_number round;
    round_number confirmed_round;
    /// Index of the first entry of the leader's own term. Until it is committed, the commit index
    /// may lag behind what earlier leaders committed, so reads and membership changes wait.
    log_index first_index_of_term;
    base::byte_count uncommitted;
    base::time_point next_heartbeat;
    std::optional<replica_identity> transfer_target;
    base::time_point transfer_deadline;
};

} // namespace damaskladder::consensus
