#pragma once

#include "base/failure_domain_id.hpp"
#include "base/key_hash.hpp"
#include "base/operator_id.hpp"
#include "http/address.hpp"

#include <optional>
#include <string>
#include <vector>

namespace damaskladder::daemon {

/// Settings of the control replica in a process.
struct replica_settings {
    /// Listener address for operators.
    http::address operators;
    /// Path of the data folder, which must exist.
    std::string data;
    /// Name of the first admin, which is created once the cluster has formed, and the hash of its
    /// token.
    base::operator_id admin;
    base::key_hash admin_token;
    /// Maximum time until a withdrawn key is refused everywhere; 0 leaves the limit on the age of
    /// settings to the settings themselves.
    base::duration key_withdrawal{};
    /// Number of control replicas that may be lost at once without loss of an accepted change. A
    /// voter is removed only while enough others remain to bear this.
    unsigned tolerated_losses = 1;
    /// Failure domains of the fleet, which an operator may evacuate; if empty, those of
    /// fleet/domains.
    std::vector<base::failure_domain_id> failure_domains;
    /// A cold backend server gets at most rate x factor + slack requests in any one second, where
    /// the rate is that of its service. Without a factor, cold backend servers have no limit.
    std::optional<double> cold_rate_factor;
    double cold_rate_slack = 0;

    friend bool operator==(const replica_settings&, const replica_settings&) = default;
};

} // namespace damaskladder::daemon
