#pragma once

#include "base/failure_domain_id.hpp"
#include "base/message_address.hpp"
#include "base/settings_version.hpp"
#include "propagation/poll_id.hpp"

namespace damaskladder::propagation {

/// A node asks for changes and freshness, and reports its version.
struct poll {
    poll_id id;
    base::message_address reply_to;
    base::failure_domain_id domain;
    base::settings_version applied_version;
    /// A difference did not fit, so differences are of no use.
    bool copy_required = false;

    friend bool operator==(const poll&, const poll&) = default;
};

} // namespace damaskladder::propagation
