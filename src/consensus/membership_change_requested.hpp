#pragma once

#include "consensus/membership_change.hpp"
#include "consensus/proposal_id.hpp"

namespace damaskladder::consensus {

/// Requests a configuration change. Produces exactly one apply_committed or refused effect.
struct membership_change_requested {
    proposal_id id;
    membership_change change;
};

} // namespace damaskladder::consensus
