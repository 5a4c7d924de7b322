#pragma once

#include "base/time.hpp"
#include "quota/holder_id.hpp"
#include "quota/tokens.hpp"

namespace damaskladder::quota {

/// What a holder knows of the holder of another domain, for one workspace.
struct peer_state {
    holder_id holder;
    /// What it had left at `known_at`.
    tokens available;
    base::time_point known_at;
    /// It did not answer; it is not asked until then.
    base::time_point backoff_until;
    /// The present round waits for its answer.
    bool awaited = false;
};

} // namespace damaskladder::quota
