#pragma once

#include "base/failure_domain_id.hpp"
#include "base/importance.hpp"
#include "base/node_id.hpp"

#include <vector>

namespace damaskladder::routing {

/// For whom a backend server is chosen.
struct choice_request {
    base::failure_domain_id own_domain;
    /// Gatekeepers already tried, or known to shed this request.
    std::vector<base::node_id> excluded;
    /// The request may be the one that tests an ejected server. False for requests that must not
    /// run twice, because the test may fail with an unknown outcome.
    bool may_probe = true;
    /// Outstanding calls of less importance do not count as load: they wait behind this one.
    base::importance importance = base::importance::background;
};

} // namespace damaskladder::routing
