#pragma once

#include "membership/member_record.hpp"

namespace damaskladder::membership {

/// A node makes itself known to a node of its seeds, or to one that it believes to be dead. A
/// receiver in the same failure domain answers with sync_records.
struct join {
    member_record joiner;
    /// The joiner knows no other member of its failure domain.
    bool alone = true;
    /// True if a node of another failure domain passed the message on; it is not passed on again.
    bool forwarded = false;

    friend bool operator==(const join&, const join&) = default;
};

} // namespace damaskladder::membership
