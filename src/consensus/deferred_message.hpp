#pragma once

#include "consensus/envelope.hpp"
#include "consensus/persist_token.hpp"

namespace damaskladder::consensus {

/// A message that may leave only once a write is synced.
struct deferred_message {
    persist_token required_token;
    envelope content;
};

} // namespace damaskladder::consensus
