#pragma once

#include "consensus/membership_change.hpp"
#include "consensus/proposal_id.hpp"

namespace damaskladder::consensus {

/// Changes the configuration. Ends with one apply_committed or refused effect.
struct membership_change_requested {
    proposal_id id;
    membership_change change;
};

} // namespace damaskladder::consensus
