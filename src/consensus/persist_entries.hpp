#pragma once

#include "consensus/entry.hpp"
#include "consensus/persist_token.hpp"

#include <vector>

namespace damaskladder::consensus {

/// Store these entries, replacing all stored entries from the index of the first one on;
/// acknowledge with sync_completed. Never empty.
struct persist_entries {
    persist_token token;
    std::vector<entry> entries;
};

} // namespace damaskladder::consensus
