#pragma once

#include "base/result.hpp"
#include "consensus/persist_entries.hpp"
#include "consensus/persist_snapshot.hpp"
#include "consensus/persist_vote.hpp"

#include <functional>

namespace damaskladder::consensus {

/// Hooks that write the persist effects of a replica. They are called from one thread, in the order
/// of the effects. A call that fails with no_space may be repeated before any other call; after any
/// other failure no further call may be made.
struct log_storage {
    std::function<base::result<void>(const persist_vote&)> write_vote;
    std::function<base::result<void>(const persist_entries&)> write_entries;
    std::function<base::result<void>(const persist_snapshot&)> write_snapshot;
    /// Returns once everything written before is durable, that is, survives a crash of the VM.
    std::function<base::result<void>()> sync;
};

} // namespace damaskladder::consensus
