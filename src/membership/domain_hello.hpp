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

/// Sent by a relay to the relays of each other failure domain every second, to announce its own
/// failure domain and to detect differences.
struct domain_hello {
    base::failure_domain_id domain;
    /// Relay that created the message, even if another node forwarded it.
    endpoint sender;
    std::vector<endpoint> relays;
    /// Digest of the sender's subscription, and the subscription itself until the receiver has it.
    table_digest subscription_digest;
    std::optional<service_subscription> subscription;
    /// Digest of the receiver's subscription as known to the sender.
    table_digest known_subscription_digest;
    /// Digest of the records that the sender holds of the receiver's failure domain. Absent if the
    /// receiver is a seed whose failure domain the sender does not know.
    std::optional<table_digest> held;
    /// Other failure domains known to the sender; included in some hellos only.
    std::vector<domain_relays> others;
    bool forwarded = false;

    friend bool operator==(const domain_hello&, const domain_hello&) = default;
};

} // namespace damaskladder::membership
