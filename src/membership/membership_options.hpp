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

/// Settings of membership_node. The defaults meet the targets of the design page.
struct membership_options {
    /// Addresses of a few nodes, also in other failure domains. The own address may be among them.
    std::vector<base::message_address> seeds;

    /// The caller calls tick() this often. A longer gap counts as one interval of awake time.
    base::duration tick_interval = std::chrono::milliseconds(100);
    base::duration heartbeat_interval = std::chrono::seconds(1);
    /// Observers of a node, and so the number of connections that it opens.
    std::size_t observer_count = 5;
    detector_options detector;

    /// Time between attempts while no other member of the failure domain is known.
    base::duration join_interval = std::chrono::milliseconds(250);
    /// Time between attempts of a relay to reach a seed or a dead node, so that the halves of a
    /// divided failure domain find each other again.
    base::duration rejoin_interval = std::chrono::seconds(2);
    /// Least time between two repairs that this node asks for.
    base::duration sync_interval = std::chrono::seconds(1);
    /// Time for which a digest must differ before a repair. Longer than news that ride on
    /// heartbeats need to cross a failure domain.
    base::duration sync_after = std::chrono::seconds(8);
    /// A node that others report dead in a repair gets this time to refute.
    base::duration refutation_timeout = std::chrono::milliseconds(1'500);
    /// Tombstones are kept this long. A node that was not running for half of it forgets its table
    /// and joins again, because it may have missed the end of a tombstone.
    base::duration tombstone_retention = std::chrono::minutes(10);
    /// Least time between two reports of a changed load level.
    base::duration load_interval = std::chrono::seconds(60);
    /// Longest wait before a node that is declared dead again and again refutes.
    base::duration max_refutation_delay = std::chrono::seconds(30);
    /// Least time between two rebuilt views.
    base::duration view_interval = std::chrono::milliseconds(100);

    /// Exchange between failure domains.
    domain_options domains;

    membership_limits limits;
};

} // namespace damaskladder::membership
