#pragma once

#include "base/failure_domain_id.hpp"
#include "base/importance.hpp"
#include "base/node_id.hpp"

#include <vector>

namespace damaskladder::routing {

/// Constraints for choosing a backend server.
struct choice_request {
    base::failure_domain_id own_domain;
    /// Gatekeepers that were already tried or are known to shed this request.
    std::vector<base::node_id> excluded;
    /// Whether the request may be used to probe an ejected server. False for requests that must not
    /// run twice, because a probe can fail with an unknown outcome.
    bool may_probe = true;
    /// Outstanding calls of lower importance do not count as load: they are queued behind this one.
    base::importance importance = base::importance::background;
};

} // namespace damaskladder::routing
