#pragma once

#include "consensus/envelope.hpp"
#include "consensus/persist_token.hpp"

namespace damaskladder::consensus {

/// A message that may leave only once a write is synced.
struct held_envelope {
    persist_token after;
    envelope content;
};

} // namespace damaskladder::consensus
