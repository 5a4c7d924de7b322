#pragma once

#include "consensus/log_index.hpp"
#include "consensus/persist_token.hpp"

namespace damaskladder::consensus {

/// A write whose sync has not been reported yet.
struct unsynced_write {
    persist_token token;
    /// Once synced, the log is durable up to here.
    log_index last_index;
};

} // namespace damaskladder::consensus
