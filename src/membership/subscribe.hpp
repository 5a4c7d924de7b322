#pragma once

#include "base/message_address.hpp"
#include "membership/domain_digest.hpp"
#include "membership/service_subscription.hpp"
#include "membership/table_digest.hpp"

#include <vector>

namespace damaskladder::membership {

/// A node tells a relay of its failure domain what it wants and what it holds. The relay answers
/// with domain_states, without a list if
/// the digests of the states are equal, and with summaries where the digests differ.
struct subscribe {
    base::message_address reply_to;
    service_subscription subscription;
    std::vector<domain_digest> held;
    /// Digest of the states of failure domains as the sender has them.
    table_digest states;

    friend bool operator==(const subscribe&, const subscribe&) = default;
};

} // namespace damaskladder::membership
