#pragma once

#include "base/attempt_id.hpp"

namespace damaskladder::node {

/// Event: the claim of an attempt is durable.
struct claim_granted {
    base::attempt_id attempt;
};

} // namespace damaskladder::node
