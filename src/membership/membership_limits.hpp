#pragma once

#include <cstddef>

namespace damaskladder::membership {

/// Bounds on everything that is taken from messages. What exceeds a bound is dropped, never stored.
struct membership_limits {
    /// Alive members and tombstones of one failure domain; 373 nodes are the design size.
    std::size_t members_per_domain = 2'048;
    std::size_t failure_domains = 32;
    std::size_t backends_per_node = 8;
    /// Length of an id or address.
    std::size_t text_length = 128;
    /// Records in one message; keeps a message under 16 KiB.
    std::size_t records_per_message = 64;
    /// Services in one subscription; 190 services are the design size.
    std::size_t services_per_subscription = 1'024;
    /// Parts of one summary; holds all members of a failure domain.
    std::size_t parts_per_summary = 32;
    /// Endpoints in one list of relays.
    std::size_t relays_per_domain = 4;
};

} // namespace damaskladder::membership
