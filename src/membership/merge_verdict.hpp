#pragma once

namespace damaskladder::membership {

/// Result of merging a record into a table.
enum class merge_verdict {
    /// Not stored: not newer than the record in the table.
    ignored,
    /// Stored; the node was unknown, had a tombstone or has a new incarnation.
    added,
    /// Stored; same incarnation, and the record differs for callers.
    updated,
    /// Stored; nothing that matters to callers changed except the load.
    load_only,
    /// Stored; the node is now dead or has left.
    removed,
    /// Not stored, because the table is full.
    refused_full,
};

} // namespace damaskladder::membership
