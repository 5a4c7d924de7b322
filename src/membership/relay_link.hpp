#pragma once

#include "membership/service_subscription.hpp"
#include "membership/table_digest.hpp"

namespace damaskladder::membership {

/// What a relay keeps of one relay of another failure domain.
struct relay_link {
    /// What the other one wants of the own failure domain.
    service_subscription subscription;
    /// Digest of the own subscription that the other one has.
    table_digest known_subscription_digest;
};

} // namespace damaskladder::membership
