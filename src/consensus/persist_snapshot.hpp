#pragma once

#include "consensus/log_disposition.hpp"
#include "consensus/persist_token.hpp"
#include "consensus/snapshot.hpp"

#include <memory>

namespace damaskladder::consensus {

/// Store the snapshot and delete what it replaces; acknowledge with sync_completed.
struct persist_snapshot {
    persist_token token;
    std::shared_ptr<const snapshot> content;
    log_disposition log = log_disposition::keep_suffix;
};

} // namespace damaskladder::consensus
