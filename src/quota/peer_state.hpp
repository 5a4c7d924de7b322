#pragma once

#include "base/time.hpp"
#include "quota/holder_id.hpp"
#include "quota/tokens.hpp"

namespace damaskladder::quota {

/// A holder's state of the holder of another domain, for one workspace.
struct peer_state {
    holder_id holder;
    /// The peer's balance at `known_at`.
    tokens available;
    base::time_point known_at;
    /// It did not answer; it is not asked until then.
    base::time_point backoff_until;
    /// The open round waits for the peer's answer.
    bool awaited = false;
};

} // namespace damaskladder::quota
