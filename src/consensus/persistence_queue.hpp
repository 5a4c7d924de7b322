#pragma once

#include "consensus/effect.hpp"
#include "consensus/event.hpp"
#include "consensus/log_storage.hpp"

#include <deque>
#include <optional>
#include <variant>

namespace damaskladder::consensus {

/// Batches persist effects and makes them durable with a single sync.
class persistence_queue {
public:
    explicit persistence_queue(log_storage storage) : m_storage(std::move(storage)) {}

    /// Moves the effect into the queue if it is a persist effect; otherwise leaves it unchanged and
    /// returns false.
    bool add(effect& next);
    bool empty() const { return m_pending.empty() && !m_unsynced; }
    /// Writes and syncs all queued effects; returns sync_completed or storage_failed for the
    /// replica, or nullopt if the disk is full. In that case the effects stay queued, and flush is
    /// called again after a while: a disk that has room again must not have cost the cluster a
    /// replica. Must not be called when empty.
    std::optional<event> flush();
    /// Why the last flush returned nullopt; nullopt if it did not.
    const std::optional<base::failure>& full_cause() const { return m_full_cause; }

private:
    using write = std::variant<persist_vote, persist_entries, persist_snapshot>;

    base::result<persist_token> write_all();

    log_storage m_storage;
    std::deque<write> m_pending;
    /// Token of the last effect that was written but not synced yet.
    std::optional<persist_token> m_unsynced;
    std::optional<base::failure> m_full_cause;
};

} // namespace damaskladder::consensus
