#pragma once

#include "base/byte_count.hpp"
#include "consensus/log_index.hpp"
#include "consensus/persist_token.hpp"

namespace damaskladder::consensus {

/// Write whose sync has not completed yet.
struct unsynced_write {
    persist_token token;
    /// Last durable index of the log once this write is synced.
    log_index last_index;
    /// Size of the entries that it stores.
    base::byte_count size = {};
};

} // namespace damaskladder::consensus
