#pragma once

#include "base/service_id.hpp"
#include "base/time.hpp"
#include "membership/credential_text.hpp"
#include "membership/membership_limits.hpp"

#include <chrono>
#include <functional>

namespace damaskladder::membership {

/// Options of announcement_registry.
struct announcement_options {
    /// Time after which an announcement that was not renewed expires.
    base::duration lease = std::chrono::seconds(3);
    /// Returns true if the credential is valid for the service; for an empty service, which a
    /// withdrawal may have, if it is valid for any. Without this hook, every announcement is
    /// refused.
    std::function<bool(const credential_text&, const base::service_id&)> may_announce;
    membership_limits limits;
};

} // namespace damaskladder::membership
