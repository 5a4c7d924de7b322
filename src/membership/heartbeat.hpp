#pragma once

#include "base/incarnation.hpp"
#include "base/message_address.hpp"
#include "base/sequence_number.hpp"
#include "membership/member_record.hpp"
#include "membership/table_digest.hpp"

#include <vector>

namespace damaskladder::membership {

/// Sent to the sender's observers every second, and immediately in answer to a probe.
struct heartbeat {
    base::incarnation incarnation;
    base::sequence_number sequence;
    /// Address for answers, because the receiver may not know the sender yet.
    base::message_address reply_to;
    /// Digest of the sender's table.
    table_digest digest;
    /// Recently changed records, disseminated by gossip.
    std::vector<member_record> updates;

    friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

} // namespace damaskladder::membership
