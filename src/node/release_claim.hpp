#pragma once

#include "base/attempt_id.hpp"

namespace damaskladder::node {

/// Effect: releases the claim of an attempt that did not run, whether granted or still requested.
struct release_claim {
    base::attempt_id attempt;
};

} // namespace damaskladder::node
