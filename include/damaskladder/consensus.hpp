#pragma once

/// \file
/// consensus: a replicated log for the control replicas.
///
///     BOOST_LEAF_AUTO(storage, consensus::file_storage::open(
///         {replica_id}, consensus::posix_file_layer(folder), random));
///     consensus::replica replica(options, storage->take_recovered_state(), random);
///     consensus::persistence_queue disk(storage->hooks());
///     std::vector<consensus::effect> effects = replica.start(now());
///     for (;;) {
///         for (auto& effect : effects) {
///             // send_message -> transport; persist_* -> disk.add(effect);
///             // apply_committed, install_snapshot -> state machine; ...
///         }
///         consensus::event next = disk.empty() ? next_event() : disk.flush();
///         effects = replica.handle(next, now());
///     }
///
/// Contract
///   - An entry is passed to the state machine (apply_committed) once a majority of the voters has
///     synced it; all replicas apply the same entries in the same order.
///   - The caller carries out effects in order. Persist effects may be batched: write several, sync
///     once, and pass one sync_completed event with the last token. Messages may be sent without
///     waiting for the sync; the replica defers every message that depends on one.
///   - Writes may run on a dedicated thread that owns the persistence_queue: pass it the persist
///     effects of all events in order, and pass the event returned by flush back to the replica.
///     Writing a snapshot blocks that thread until the disk has finished.
///   - The replica answers heartbeats during a sync, so a slow disk alone does not make a leader
///     lose its leadership.
///   - A read is linearizable if it is served from the state machine after read_confirmed.
///   - A proposal ends with apply_committed carrying its id, or with refused; refusal_reason tells
///     whether it is certain that it was not executed. Across restarts entries are applied at least
///     once: the state machine is rebuilt from the snapshot and the entries after it.
///   - After storage_failed the replica is halted: it sends nothing and refuses everything.
///
/// Identity and bootstrap of a cluster
///   - An identity is the configured id plus a nonce generated when the data folder is created.
///     Votes and acknowledgements count only if the whole identity is a voter of the configuration.
///   - The first configuration entry records the nonces. Until a replica has an entry or a
///     snapshot, it campaigns only if it is in initial_replicas, and wins only with the votes of
///     all of initial_replicas, each with an empty log. Two first configurations can therefore not
///     both be created: a second unanimous vote would prove that no replica holds the first one.
///   - A replica whose folder was wiped has a new nonce. It cannot vote, and reports
///     awaiting_admission, until an operator replaces the old identity (add_replica with the new
///     one). It then joins as a learner.
///   - Never start wiped replicas of an existing cluster as a complete initial_replicas list: they
///     would form a new cluster. Leave the list empty on replicas that join later.
///
/// Units: indexes count entries from 1; sizes are bytes; times are base::duration.
///
/// Errors: base::failure from file_storage (kind corrupt names file, offset and remedy; io names
/// the call that failed). Decisions of a replica are effects, never failures.
///
/// Limits: replica_options and file_storage_options; exceeding one gives refused (too_large,
/// overloaded, too_many_members), snapshot_rejected, or a failure of kind too_large. The transport
/// must carry messages of max_append + max_command and of snapshot_chunk, plus their encoding.

#include "consensus/effect.hpp"
#include "consensus/event.hpp"
#include "consensus/file_storage.hpp"
#include "consensus/log_storage.hpp"
#include "consensus/membership_policy.hpp"
#include "consensus/message.hpp"
#include "consensus/persistence_queue.hpp"
#include "consensus/posix_file_layer.hpp"
#include "consensus/recovered_state.hpp"
#include "consensus/replica.hpp"
#include "consensus/replica_options.hpp"
#include "consensus/replica_status.hpp"
#include "consensus/requests_admission.hpp"
