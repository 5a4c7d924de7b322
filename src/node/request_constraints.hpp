#pragma once

#include "base/importance.hpp"
#include "base/time.hpp"

#include <optional>

namespace damaskladder::node {

/// Limits requested by a caller. They can only tighten the route's settings.
struct request_constraints {
    /// Lowers the importance; a higher value than the route's or the parent's is ignored.
    std::optional<base::importance> importance;
    /// Shortens the time budget.
    std::optional<base::duration> timeout;
    /// The request must not run twice, although its route is idempotent.
    bool non_idempotent = false;
};

} // namespace damaskladder::node
