#pragma once

#include <cstdint>

namespace damaskladder::wire {

/// The library that a message between processes belongs to.
enum class message_kind : std::uint8_t {
    consensus = 1,
    membership = 2,
    propagation = 3,
    lease = 4,
    quota = 5,
    claims = 6,
    holder_notice = 7,
    settings_poll = 8,
    settings_answer = 9,
    claim_command = 10,
    claim_answer = 11,
};

} // namespace damaskladder::wire
