#pragma once

#include "membership/member_record.hpp"

namespace damaskladder::membership {

/// Sent by a node to a seed, or to the address of a member that it considers dead. A receiver in
/// the same failure domain answers with sync_records.
struct join {
    member_record joiner;
    /// True if the joiner knows no other member of its failure domain.
    bool alone = true;
    /// True if a node of another failure domain forwarded the message. Such a message is not
    /// forwarded again.
    bool forwarded = false;

    friend bool operator==(const join&, const join&) = default;
};

} // namespace damaskladder::membership
