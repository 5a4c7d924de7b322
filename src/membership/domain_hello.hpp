#pragma once

#include "base/failure_domain_id.hpp"
#include "base/message_address.hpp"
#include "membership/domain_relays.hpp"
#include "membership/endpoint.hpp"
#include "membership/service_subscription.hpp"
#include "membership/table_digest.hpp"

#include <optional>
#include <vector>

namespace damaskladder::membership {

/// A relay makes its failure domain known to the relays of another one, each second.
struct domain_hello {
    base::failure_domain_id domain;
    /// The relay that sent it, also if another node passed it on.
    endpoint sender;
    std::vector<endpoint> relays;
    /// Digest of the sender's subscription, and the subscription itself until the receiver has it.
    table_digest subscription_digest;
    std::optional<service_subscription> subscription;
    /// Digest of the receiver's subscription as the sender has it.
    table_digest known_subscription_digest;
    /// Digest of what the sender holds of the receiver's failure domain; absent if the sender
    /// called a seed and does not know whose it is.
    std::optional<table_digest> held;
    /// Other failure domains that the sender knows; sent now and then.
    std::vector<domain_relays> others;
    bool forwarded = false;

    friend bool operator==(const domain_hello&, const domain_hello&) = default;
};

} // namespace damaskladder::membership
