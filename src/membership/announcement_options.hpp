#pragma once

#include "base/service_id.hpp"
#include "base/time.hpp"
#include "membership/credential_text.hpp"
#include "membership/membership_limits.hpp"

#include <chrono>
#include <functional>

namespace damaskladder::membership {

/// Settings of announcement_lease.
struct announcement_options {
    /// Time after which an announcement that is not renewed ends.
    base::duration lease = std::chrono::seconds(3);
    /// True if the credential names the service. Without this hook nothing may be announced.
    std::function<bool(const credential_text&, const base::service_id&)> may_announce;
    membership_limits limits;
};

} // namespace damaskladder::membership
