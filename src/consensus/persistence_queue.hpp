#pragma once

#include "consensus/effect.hpp"
#include "consensus/event.hpp"
#include "consensus/log_storage.hpp"

#include <variant>
#include <vector>

namespace damaskladder::consensus {

/// Batches persist effects and makes them durable with a single sync.
class persistence_queue {
public:
    explicit persistence_queue(log_storage storage) : m_storage(std::move(storage)) {}

    /// Moves the effect into the queue if it is a persist effect; otherwise leaves it unchanged and
    /// returns false.
    bool add(effect& next);
    bool empty() const { return m_pending.empty(); }
    /// Writes and syncs all queued effects; returns sync_completed or storage_failed for the
    /// replica. Must not be called when empty.
    event flush();

private:
    using write = std::variant<persist_vote, persist_entries, persist_snapshot>;

    base::result<persist_token> write_all();

    log_storage m_storage;
    std::vector<write> m_pending;
};

} // namespace damaskladder::consensus
