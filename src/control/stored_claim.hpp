#pragma once

#include "control/claim_key.hpp"
#include "control/claim_record.hpp"

namespace damaskladder::control {

/// A claim as stored in a snapshot.
struct stored_claim {
    claim_key key;
    claim_record record;
};

} // namespace damaskladder::control
