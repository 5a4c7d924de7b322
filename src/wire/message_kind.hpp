#pragma once

#include <cstdint>

namespace damaskladder::wire {

/// Identifies the library or protocol that a message between processes belongs to.
enum class message_kind : std::uint8_t {
    consensus = 1,
    membership = 2,
    propagation = 3,
    lease = 4,
    quota = 5,
    claims = 6,
    holder_notices = 7,
    claim_commands = 8,
    claim_responses = 9,
    replica_requests = 10,
};

} // namespace damaskladder::wire
