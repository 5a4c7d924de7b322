#pragma once

#include "membership/service_subscription.hpp"
#include "membership/table_digest.hpp"

namespace damaskladder::membership {

/// State that a relay keeps for a relay of another failure domain.
struct relay_link {
    /// The remote relay's subscription to the local failure domain.
    service_subscription subscription;
    /// Digest of the local subscription as known to the remote relay.
    table_digest known_subscription_digest;
};

} // namespace damaskladder::membership
