#pragma once

#include "base/byte_count.hpp"
#include "consensus/entry.hpp"
#include "consensus/indexed_configuration.hpp"
#include "consensus/log_disposition.hpp"
#include "consensus/log_retention.hpp"
#include "consensus/snapshot.hpp"

#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace damaskladder::consensus {

/// In-memory log of a replica: the entries, the newest snapshot and the configurations that they
/// contain.
class entry_log {
public:
    entry_log(std::shared_ptr<const snapshot> newest, std::vector<entry> entries);

    /// Index of the entry before the first one held in memory. Its term is still known.
    log_index base_index() const { return m_base_index; }
    log_index last_index() const { return index_after(m_base_index, m_entries.size()); }
    term_number last_term() const;
    /// Term of the entry at this index; nullopt if the log does not have it.
    std::optional<term_number> term_at(log_index index) const;
    /// Requires base_index() < index <= last_index().
    const entry& at(log_index index) const;
    /// Copies entries starting at `first`, up to `limit` bytes but always at least one entry.
    std::vector<entry> copy_from(log_index first, base::byte_count limit) const;

    /// Requires that the entry follows the last one.
    void append(entry added);
    void truncate_from(log_index first);

    /// Installs a snapshot received from the leader.
    void install(std::shared_ptr<const snapshot> received, log_disposition disposition);
    /// Records a snapshot of the local state machine and discards entries up to it, except the last
    /// ones that `retained` allows.
    void compact(std::shared_ptr<const snapshot> taken, const log_retention& retained);

    const std::shared_ptr<const snapshot>& newest_snapshot() const { return m_snapshot; }
    log_index snapshot_index() const { return m_snapshot ? m_snapshot->last_index : log_index(); }

    /// Total size of the entries held in memory.
    base::byte_count size() const { return m_size; }
    /// True if the log has neither entries nor a snapshot.
    bool empty() const { return m_entries.empty() && m_base_index == log_index(); }
    /// The latest configuration in the log, committed or not; without members if there is none.
    const configuration& members() const { return m_configurations.back().members; }
    /// Index of the entry that contains members().
    log_index members_index() const { return m_configurations.back().index; }
    /// The configuration in effect at an index; the index must not precede the snapshot.
    const configuration& members_at(log_index index) const;
    /// True if the identity is a voter of the latest configuration, or of an earlier one that may
    /// still be in effect because its replacement is not known to be committed. A replica whose
    /// removal is not committed may be the only one with the newest log; if it did not campaign, no
    /// other replica could win. The commit index is not persisted, so after a restart all
    /// configurations in the log have to be considered.
    bool may_be_voter(const replica_identity& identity, log_index commit_index) const;

private:
    void drop_front(log_index new_base, term_number base_term);
    void rebuild_configurations();

    log_index m_base_index;
    term_number m_base_term;
    std::deque<entry> m_entries;
    base::byte_count m_size;
    std::shared_ptr<const snapshot> m_snapshot;
    /// Never empty. The first element is the configuration of the snapshot, or an empty one if
    /// there is no snapshot.
    std::vector<indexed_configuration> m_configurations;
};

} // namespace damaskladder::consensus
