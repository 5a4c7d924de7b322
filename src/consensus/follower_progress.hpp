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

namespace damaskladder::consensus {

/// What a leader knows about one other member.
struct follower_progress {
    replica_identity identity;
    progress_state state = progress_state::probing;
    /// The first entry to send next.
    log_index next;
    /// Synced at the follower and equal to the leader's log up to here.
    log_index match;
    /// Last index of each unanswered request with entries.
    std::deque<log_index> in_flight;
    /// While probing: a request is out.
    bool probe_sent = false;
    /// Newest commit index sent.
    log_index sent_commit;
    /// Newest heartbeat round answered.
    round_number acked_round;
    base::time_point last_heard;
    /// Snapshot in transfer; kept until the end even if a newer one is taken meanwhile.
    std::shared_ptr<const snapshot> transfer;
    base::byte_count transfer_offset;
    base::time_point chunk_sent_at;
};

} // namespace damaskladder::consensus
