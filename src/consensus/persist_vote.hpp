#pragma once

#include "consensus/hard_state.hpp"
#include "consensus/persist_token.hpp"

namespace damaskladder::consensus {

/// Store term and vote; acknowledge with sync_completed.
struct persist_vote {
    persist_token token;
    hard_state state;
};

} // namespace damaskladder::consensus
