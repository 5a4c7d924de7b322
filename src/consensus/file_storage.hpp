#pragma once

#include "base/random_source.hpp"
#include "base/result.hpp"
#include "consensus/file_layer.hpp"
#include "consensus/file_storage_options.hpp"
#include "consensus/log_storage.hpp"
#include "consensus/recovered_folder.hpp"
#include "consensus/segment_writer.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace damaskladder::consensus {

/// Stores the state of one replica in a data folder:
///   identity            id and nonce
///   formation           replicas that form the cluster, on those that do
///   vote                term and vote, replaced atomically
///   segment-NUMBER      entries as checksummed frames
///   snapshot-INDEX      newest snapshot, replaced atomically
/// Not thread-safe. A call that fails with no_space may be repeated and then continues where it
/// stopped: write_entries need not be repeated, since it writes nothing before sync. After any
/// other failure every further call fails.
class file_storage {
public:
    /// Locks the folder, which must exist, and reads it. Fails with kind corrupt if synced data is
    /// damaged, and with kind conflict if the folder is in use or belongs to another replica.
    /// random generates the nonce of a new folder and must be unpredictable across VMs.
    static base::result<std::unique_ptr<file_storage>>
    open(file_storage_options options, file_layer files, const base::random_source& random);

    ~file_storage();
    file_storage(const file_storage&) = delete;
    file_storage& operator=(const file_storage&) = delete;
    file_storage(file_storage&&) = delete;
    file_storage& operator=(file_storage&&) = delete;

    /// Returns the recovered state; call once.
    recovered_state take_recovered_state() { return std::move(m_folder.state); }

    /// Term and vote are synced on return.
    base::result<void> write_vote(const persist_vote& write);
    /// Buffers the entries in memory until sync.
    base::result<void> write_entries(const persist_entries& write);
    /// The snapshot and everything before it are synced on return; blocks until the disk has
    /// written the whole snapshot.
    base::result<void> write_snapshot(const persist_snapshot& write);
    base::result<void> sync();

    /// The write functions as hooks; valid during the lifetime of this object.
    log_storage hooks();

private:
    file_storage(file_storage_options options, file_layer files);

    /// Carries out a write, and refuses all later ones if it fails for good.
    base::result<void> attempt(const std::function<base::result<void>()>& write);
    base::result<void> append_entries(const persist_entries& write);
    base::result<void> sync_segment();
    base::result<void> begin_segment(segment_number number);
    base::result<void> store_snapshot(const persist_snapshot& write);
    base::result<void> remove_obsolete_files(log_index previous_snapshot);

    file_storage_options m_options;
    file_layer m_files;
    recovered_folder m_folder;
    log_index m_snapshot_index;
    std::optional<segment_writer> m_writer;
    bool m_failed = false;
};

} // namespace damaskladder::consensus
