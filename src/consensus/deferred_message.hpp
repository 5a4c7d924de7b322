#pragma once

#include "consensus/envelope.hpp"
#include "consensus/persist_token.hpp"

namespace damaskladder::consensus {

/// Message that must not be sent before a write is synced.
struct deferred_message {
    persist_token required_token;
    envelope content;
};

} // namespace damaskladder::consensus
