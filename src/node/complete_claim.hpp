#pragma once

#include "base/attempt_id.hpp"

namespace damaskladder::node {

/// Effect: the attempt was answered; its claim stays, in the state done.
struct complete_claim {
    base::attempt_id attempt;
};

} // namespace damaskladder::node
