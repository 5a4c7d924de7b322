#pragma once

#include "base/attempt_id.hpp"
#include "node/claim_denial.hpp"

namespace damaskladder::node {

/// Event: an attempt was denied its claim and must not run.
struct claim_denied {
    base::attempt_id attempt;
    claim_denial reason = claim_denial::unavailable;
};

} // namespace damaskladder::node
