#pragma once

#include "base/time.hpp"

namespace damaskladder::node {

/// Event: the node ends at this time. A request that arrives from now on is passed on only if it
/// has an answer by then: an idempotent one gets its deadline shortened, another one is refused if
/// its deadline is later.
struct stop_scheduled {
    base::time_point end;
};

} // namespace damaskladder::node
