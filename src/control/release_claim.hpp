#pragma once

#include "base/attempt_id.hpp"
#include "control/claim_key.hpp"

namespace damaskladder::control {

/// Reports that the attempt has not run and never will.
struct release_claim {
    claim_key key;
    base::attempt_id attempt;

    friend bool operator==(const release_claim&, const release_claim&) = default;
};

} // namespace damaskladder::control
