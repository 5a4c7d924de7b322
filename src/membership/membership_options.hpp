#pragma once

#include "base/message_address.hpp"
#include "base/time.hpp"
#include "membership/detector_options.hpp"
#include "membership/domain_options.hpp"
#include "membership/membership_limits.hpp"

#include <chrono>
#include <cstddef>
#include <vector>

namespace damaskladder::membership {

/// Options of membership_node. The defaults meet the targets of the design page.
struct membership_options {
    /// Addresses of a few nodes, possibly in other failure domains. May include the node's own
    /// address.
    std::vector<base::message_address> seeds;

    /// Interval at which the caller calls tick(). A longer gap counts as one interval of active
    /// time.
    base::duration tick_interval = std::chrono::milliseconds(100);
    base::duration heartbeat_interval = std::chrono::seconds(1);
    /// Updates that come within this time of the last ones are sent together.
    base::duration urgent_interval = std::chrono::milliseconds(100);
    /// Observers per node, which is also the number of connections that a node opens.
    std::size_t observer_count = 5;
    detector_options detector;

    /// Interval between join attempts while no other member of the failure domain is known.
    base::duration join_interval = std::chrono::milliseconds(250);
    /// Interval between attempts of a relay to contact a seed or a dead node, so that a partitioned
    /// failure domain merges again.
    base::duration rejoin_interval = std::chrono::seconds(2);
    /// Minimum time between two repairs requested by this node.
    base::duration sync_interval = std::chrono::seconds(1);
    /// Time for which two digests must differ before a repair. Longer than updates sent with
    /// heartbeats need to propagate across a failure domain.
    base::duration sync_after = std::chrono::seconds(8);
    /// Time that a node has to refute a tombstone received in a repair.
    base::duration refutation_timeout = std::chrono::milliseconds(1'500);
    /// Retention time of tombstones. A node that was not running for half of this time clears its
    /// table and rejoins, because a tombstone that it missed may expire before it learns of it.
    base::duration tombstone_retention = std::chrono::minutes(10);
    /// Minimum time between two published changes of the load level.
    base::duration load_interval = std::chrono::seconds(60);
    /// Maximum delay before a node that is repeatedly declared dead refutes again.
    base::duration max_refutation_delay = std::chrono::seconds(30);
    /// Minimum time between two rebuilds of the view.
    base::duration view_interval = std::chrono::milliseconds(100);

    /// Interval at which run endings are sent, and asked for, until they are answered.
    base::duration endings_interval = std::chrono::milliseconds(100);
    /// Times of a node that has started and asks its observers for endings; see endings_recovery.
    base::duration endings_majority_wait = std::chrono::seconds(1);
    base::duration alone_after = std::chrono::seconds(2);
    /// Time for which endings are kept for other nodes; late messages of a run are not expected
    /// after it.
    base::duration endings_retention = std::chrono::minutes(2);

    /// Exchange between failure domains.
    domain_options domains;

    membership_limits limits;
};

} // namespace damaskladder::membership
