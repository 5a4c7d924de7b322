#pragma once

#include "base/attempt_id.hpp"

namespace damaskladder::node {

/// Effect: the attempt certainly did not run; its claim, granted or still asked for, is void.
struct release_claim {
    base::attempt_id attempt;
};

} // namespace damaskladder::node
