#pragma once

#include "consensus/read_id.hpp"

namespace damaskladder::consensus {

/// Requests confirmation that this replica is still the leader. Produces exactly one read_confirmed
/// or refused effect.
struct read_requested {
    read_id id;
};

} // namespace damaskladder::consensus
