#pragma once

namespace damaskladder::membership {

/// What became of a record offered to a table.
enum class merge_verdict {
    /// Not newer than what the table holds.
    ignored,
    /// Taken; the node was unknown, came back or has a new incarnation.
    added,
    /// Taken; same incarnation, differs for callers.
    updated,
    /// Taken; only the load differs.
    load_only,
    /// Taken; the node is now dead or left.
    removed,
    /// Not taken, because the table is full.
    refused_full,
};

} // namespace damaskladder::membership
