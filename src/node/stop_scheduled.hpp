#pragma once

#include "base/time.hpp"

namespace damaskladder::node {

/// Event: the node ends at this time. A request that arrives from now on is refused if its deadline
/// is later, so that it is not broken off. An onward call, whose parent would fail with it, is
/// passed on if it is idempotent, with its deadline shortened.
struct stop_scheduled {
    base::time_point end;
};

} // namespace damaskladder::node
