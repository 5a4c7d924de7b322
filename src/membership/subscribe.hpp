#pragma once

#include "base/message_address.hpp"
#include "membership/domain_digest.hpp"
#include "membership/service_subscription.hpp"
#include "membership/table_digest.hpp"

#include <vector>

namespace damaskladder::membership {

/// Sent by a node to a relay of its failure domain, with its subscription and digests of the
/// records that it holds. The relay answers with domain_states, whose list is empty if the digests
/// of the states are equal, and with a summary of each failure domain whose digest differs.
struct subscribe {
    base::message_address reply_to;
    service_subscription subscription;
    std::vector<domain_digest> held;
    /// Digest of the states of other failure domains as known to the sender.
    table_digest states;

    friend bool operator==(const subscribe&, const subscribe&) = default;
};

} // namespace damaskladder::membership
