#pragma once

#include "base/attempt_id.hpp"

namespace damaskladder::node {

/// Effect: the attempt completed with a response. Its claim is kept in the state done.
struct complete_claim {
    base::attempt_id attempt;
};

} // namespace damaskladder::node
