#pragma once

#include "base/message_address.hpp"
#include "membership/domain_digest.hpp"
#include "membership/service_subscription.hpp"

#include <vector>

namespace damaskladder::membership {

/// A node tells a relay of its failure domain what it wants and what it holds. The relay answers
/// with domain_states, and with summaries where the digests differ.
struct subscribe {
    base::message_address reply_to;
    service_subscription wanted;
    std::vector<domain_digest> held;

    friend bool operator==(const subscribe&, const subscribe&) = default;
};

} // namespace damaskladder::membership
