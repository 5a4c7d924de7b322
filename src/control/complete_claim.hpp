#pragma once

#include "base/attempt_id.hpp"
#include "control/claim_key.hpp"

namespace damaskladder::control {

/// Reports that the attempt has run and its answer is known.
struct complete_claim {
    claim_key key;
    base::attempt_id attempt;

    friend bool operator==(const complete_claim&, const complete_claim&) = default;
};

} // namespace damaskladder::control
