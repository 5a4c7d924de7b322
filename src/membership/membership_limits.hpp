#pragma once

#include <cstddef>

namespace damaskladder::membership {

/// Bounds on the content of received messages. Content beyond a bound is dropped and never stored.
struct membership_limits {
    /// Alive members and tombstones of one failure domain. The design size is 373 nodes.
    std::size_t members_per_domain = 2'048;
    std::size_t failure_domains = 32;
    std::size_t backends_per_node = 8;
    /// Ended or draining runs that other nodes keep for a node; the oldest are dropped.
    std::size_t run_endings_per_node = 8;
    /// Endings that a node keeps for one other node over several of its lists, and for all.
    std::size_t kept_endings_per_node = 32;
    std::size_t kept_endings = 4'096;
    /// Length of an id or address in bytes.
    std::size_t text_length = 128;
    /// Records in one message. Keeps messages smaller than 16 KiB.
    std::size_t records_per_message = 64;
    /// Services in one subscription. The design size is 190 services.
    std::size_t services_per_subscription = 1'024;
    /// Parts of one summary. Sufficient for all members of a failure domain.
    std::size_t parts_per_summary = 32;
    /// Endpoints in one list of relays.
    std::size_t relays_per_domain = 4;
};

} // namespace damaskladder::membership
