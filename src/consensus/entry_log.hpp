#pragma once

#include "base/byte_count.hpp"
#include "consensus/entry.hpp"
#include "consensus/indexed_configuration.hpp"
#include "consensus/log_disposition.hpp"
#include "consensus/snapshot.hpp"

#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace damaskladder::consensus {

/// The entries that a replica holds in memory, the newest snapshot, and the configurations in them.
class entry_log {
public:
    entry_log(std::shared_ptr<const snapshot> newest, std::vector<entry> entries);

    /// Last index that is no longer held as an entry; its term is still known.
    log_index base_index() const { return m_base_index; }
    log_index last_index() const { return index_after(m_base_index, m_entries.size()); }
    term_number last_term() const;
    /// Term of an entry; nothing if the entry is not known.
    std::optional<term_number> term_at(log_index index) const;
    /// base_index() < index <= last_index().
    const entry& at(log_index index) const;
    /// Entries from `first` on, at least one and no more than fit into `limit`.
    std::vector<entry> copy_from(log_index first, base::byte_count limit) const;

    /// The entry must follow the last one.
    void append(entry added);
    void truncate_from(log_index first);

    /// Takes over a snapshot from the leader.
    void install(std::shared_ptr<const snapshot> received, log_disposition disposition);
    /// Takes over a snapshot of this replica's own state machine, and keeps `retained` entries
    /// behind it.
    void compact(std::shared_ptr<const snapshot> taken, std::uint64_t retained);

    const std::shared_ptr<const snapshot>& newest_snapshot() const { return m_snapshot; }
    log_index snapshot_index() const { return m_snapshot ? m_snapshot->last_index : log_index(); }

    /// True if there is neither an entry nor a snapshot.
    bool empty() const { return m_entries.empty() && m_base_index == log_index(); }
    /// The newest configuration, committed or not; without members if there is none.
    const configuration& members() const { return m_configurations.back().members; }
    /// Index of the entry that holds members().
    log_index members_index() const { return m_configurations.back().index; }
    /// The configuration in force at an index that is not before the snapshot.
    const configuration& members_at(log_index index) const;
    /// True if the identity is a voter of the newest configuration, or of an earlier one that is
    /// not known to be replaced at the commit index. A replica whose removal is not committed may
    /// be the only one with the newest log; if it did not campaign, no other could win. Since the
    /// commit index is forgotten in a restart, all configurations in the log have to be looked at.
    bool may_be_voter(const replica_identity& identity, log_index commit_index) const;

private:
    void drop_front(log_index new_base, term_number base_term);
    void rebuild_configurations();

    log_index m_base_index;
    term_number m_base_term;
    std::deque<entry> m_entries;
    std::shared_ptr<const snapshot> m_snapshot;
    /// Never empty: the first one is that of the snapshot, or the empty one.
    std::vector<indexed_configuration> m_configurations;
};

} // namespace damaskladder::consensus
