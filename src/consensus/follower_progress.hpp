#pragma once

#include "base/byte_count.hpp"
#include "base/time.hpp"
#include "consensus/log_index.hpp"
#include "consensus/progress_state.hpp"
#include "consensus/replica_identity.hpp"
#include "consensus/round_number.hpp"
#include "consensus/snapshot.hpp"

#include <deque>
#include <memory>
#include <optional>

namespace damaskladder::consensus {

/// Replication state that a leader keeps for another member.
struct follower_progress {
    replica_identity identity;
    progress_state state = progress_state::probing;
    /// Next entry to send.
    log_index next;
    /// Last index up to which the follower's log is known to be synced and equal to the leader's.
    log_index match;
    /// Last index of each append request with entries that has not been answered.
    std::deque<log_index> in_flight;
    /// While probing: a request is unanswered.
    bool probe_sent = false;
    /// Latest commit index sent to the follower.
    log_index sent_commit;
    /// Latest heartbeat round that the follower acknowledged.
    round_number acked_round;
    base::time_point last_heard;
    /// Round in which this learner was first found to have caught up; reset when it falls behind.
    std::optional<round_number> caught_up_in;
    /// Snapshot being transferred. It does not change during a transfer, even if a newer one is
    /// taken.
    std::shared_ptr<const snapshot> transfer;
    base::byte_count transfer_offset;
    base::time_point chunk_sent_at;
};

} // namespace damaskladder::consensus
