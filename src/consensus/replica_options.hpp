#pragma once

#include "base/byte_count.hpp"
#include "base/time.hpp"
#include "consensus/log_retention.hpp"
#include "consensus/replica_id.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace damaskladder::consensus {

/// Options of a replica. All replicas of a cluster must use the same values.
struct replica_options {
    /// Replicas that bootstrap the cluster; the same list on each of them. Leave it empty on a
    /// replica that joins or rejoins an existing cluster: the list of its first start is in
    /// recovered_state. Without one, a replica does not campaign before it is a member, but votes
    /// for a bootstrap while it holds no entry.
    std::vector<replica_id> initial_replicas;

    /// Maximum time between two heartbeats of a leader.
    base::duration heartbeat_interval = std::chrono::milliseconds(100);
    /// A follower campaigns after hearing no leader for a random time from [election_timeout, 2 *
    /// election_timeout). A leader that has not heard a quorum for election_timeout steps down. The
    /// longest random time plus the duration of an election must stay below 2 s, the target for
    /// replacing a lost leader.
    base::duration election_timeout = std::chrono::milliseconds(400);
    /// Maximum time between two tick events.
    base::duration tick_interval = std::chrono::milliseconds(20);

    base::byte_count max_command{1 << 20};
    /// Maximum size of the entries in one append_request; a single larger entry is sent alone.
    base::byte_count max_append{256 << 10};
    /// Maximum number of unanswered requests with entries per follower. Further entries are batched
    /// into later requests.
    std::size_t max_appends_in_flight = 4;
    /// Limit on the size of uncommitted entries; proposals above it are refused as overloaded.
    base::byte_count max_uncommitted{32 << 20};
    /// Limit on the size of entries that the leader's own disk has not synced, although the others
    /// may have committed them; proposals above it are refused as overloaded, and the leader
    /// transfers its leadership.
    base::byte_count max_unsynced{32 << 20};
    std::size_t max_pending_reads = 100'000;
    /// Further replicas are refused admission.
    std::size_t max_members = 31;
    /// Learners are promoted up to this number of voters. The others stay learners, which follow
    /// the log without a vote, until a voter is removed.
    std::size_t max_voters = 15;

    /// A snapshot is requested once this many entries have been applied since the last one, or
    /// entries of this total size, whichever comes first. A snapshot that is larger than
    /// snapshot_after_bytes raises the latter limit to its own size, so that writing snapshots
    /// costs no more than writing the log.
    std::uint64_t snapshot_after_entries = 10'000;
    base::byte_count snapshot_after_bytes{8 << 20};
    /// Entries kept in memory before the last index of a snapshot, so that a replica that is
    /// slightly behind needs no snapshot transfer.
    log_retention retained_before_snapshot;
    base::byte_count snapshot_chunk{256 << 10};
    base::byte_count max_snapshot{256 << 20};

    /// A learner is promoted to voter once it lacks at most this many entries.
    std::uint64_t promotion_lag_entries = 64;
};

} // namespace damaskladder::consensus
