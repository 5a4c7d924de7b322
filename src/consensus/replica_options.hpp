#pragma once

#include "base/byte_count.hpp"
#include "base/time.hpp"
#include "consensus/replica_id.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace damaskladder::consensus {

/// Settings of a replica. All replicas of a cluster use the same values.
struct replica_options {
    /// The replicas that form the cluster, the same list on each of them. Leave it empty on a
    /// replica that is to join, or to come back to, an existing cluster.
    std::vector<replica_id> initial_replicas;

    /// A leader sends a heartbeat at least this often.
    base::duration heartbeat_interval = std::chrono::milliseconds(100);
    /// A follower campaigns after a silence drawn from [election_timeout, 2 * election_timeout).
    /// A leader that has not heard a quorum for this long steps down. The sum of the longest
    /// silence and an election has to stay below the 2 s in which a lost leader is replaced.
    base::duration election_timeout = std::chrono::milliseconds(400);
    /// Longest time between two tick events.
    base::duration tick_interval = std::chrono::milliseconds(20);

    base::byte_count max_command{1 << 20};
    /// Entries in one append_request; a single larger entry is sent alone.
    base::byte_count max_append{256 << 10};
    /// Requests with entries that one follower has not answered yet. Further entries gather and go
    /// out together.
    std::size_t max_appends_in_flight = 4;
    /// Entries that are not committed yet; further proposals are refused as overloaded.
    base::byte_count max_uncommitted{32 << 20};
    std::size_t max_pending_reads = 100'000;
    std::size_t max_members = 9;

    /// A snapshot is wanted when this many entries were applied since the last one.
    std::uint64_t snapshot_after_entries = 10'000;
    /// Entries kept in memory behind a snapshot, so that a replica that is a little late needs
    /// no snapshot transfer.
    std::uint64_t entries_retained_before_snapshot = 1'000;
    base::byte_count snapshot_chunk{256 << 10};
    base::byte_count max_snapshot{256 << 20};

    /// A learner becomes a voter when it lacks no more entries than this.
    std::uint64_t promotion_lag_entries = 64;
};

} // namespace damaskladder::consensus
