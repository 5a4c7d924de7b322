#pragma once

#include "base/failure_domain_id.hpp"
#include "base/message_address.hpp"
#include "base/settings_version.hpp"
#include "propagation/poll_id.hpp"

namespace damaskladder::propagation {

/// Request of a node for changes and freshness, which also reports its applied version.
struct poll {
    poll_id id;
    base::message_address reply_to;
    base::failure_domain_id domain;
    base::settings_version applied_version;
    /// A difference did not fit, so the node needs a full copy.
    bool copy_required = false;

    friend bool operator==(const poll&, const poll&) = default;
};

} // namespace damaskladder::propagation
