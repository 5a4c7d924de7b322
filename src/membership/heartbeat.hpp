#pragma once

#include "base/incarnation.hpp"
#include "base/message_address.hpp"
#include "base/sequence_number.hpp"
#include "membership/member_record.hpp"
#include "membership/table_digest.hpp"

#include <vector>

namespace damaskladder::membership {

/// Sent each second to the sender's observers, and at once to an observer that asks.
struct heartbeat {
    base::incarnation incarnation;
    base::sequence_number sequence;
    /// Where to answer, because the receiver may not know the sender yet.
    base::message_address reply_to;
    /// Digest of the sender's table.
    table_digest digest;
    /// Records that changed lately.
    std::vector<member_record> updates;

    friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

} // namespace damaskladder::membership
