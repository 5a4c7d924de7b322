#pragma once

#include "consensus/log_index.hpp"
#include "consensus/persist_token.hpp"
#include "consensus/unsynced_write.hpp"

#include <deque>

namespace damaskladder::consensus {

/// Issues persist tokens and tracks up to which index the log is durable.
class persist_tracker {
public:
    explicit persist_tracker(log_index durable) : m_synced_index(durable) {}

    /// Token for a write that does not extend the log.
    persist_token issue();
    /// Token for entries first..last of this total size, which replace all entries from first on.
    persist_token issue_entries(log_index first, log_index last, base::byte_count size = {});
    /// Token for a snapshot from the leader that replaces the log up to last.
    persist_token issue_snapshot(log_index last);
    /// Entries after this index no longer count as durable.
    void discard_after(log_index last);

    void complete(persist_token token);

    persist_token last_issued() const { return m_issued; }
    persist_token last_synced() const { return m_synced; }
    log_index synced_index() const { return m_synced_index; }
    /// Total size of the entries that are not synced yet.
    base::byte_count unsynced_size() const { return m_unsynced_size; }

private:
    persist_token m_issued;
    persist_token m_synced;
    log_index m_synced_index;
    std::deque<unsynced_write> m_unsynced;
    base::byte_count m_unsynced_size;
};

} // namespace damaskladder::consensus
