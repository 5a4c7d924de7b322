#pragma once

#include "consensus/persist_token.hpp"

namespace damaskladder::consensus {

/// All persist effects up to and including this token are written and synced.
struct sync_completed {
    persist_token token;
};

} // namespace damaskladder::consensus
