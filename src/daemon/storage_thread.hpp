#pragma once

#include "consensus/file_storage.hpp"
#include "consensus/persistence_queue.hpp"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace damaskladder::daemon {

/// Writes and syncs the log of a control replica on a separate thread, so that a slow disk does not
/// block the control thread. Effects that arrive during a sync are written together with the next
/// one. While the disk is full nothing is acknowledged, and the writes are repeated until there is
/// room.
class storage_thread {
public:
    /// done is called on the storage thread with sync_completed or storage_failed.
    using done_handler = std::function<void(consensus::event)>;

    storage_thread(std::unique_ptr<consensus::file_storage> storage, done_handler done);
    /// Writes the queued effects, unless the disk is full, and joins the thread.
    ~storage_thread();
    storage_thread(const storage_thread&) = delete;
    storage_thread& operator=(const storage_thread&) = delete;

    /// Queues a persist effect. Thread-safe.
    void add(consensus::effect wanted);

private:
    void run();
    /// Waits for effects; nullopt when the thread shall end.
    std::optional<std::vector<consensus::effect>> take_next();
    /// Waits for the delay and returns what has been added, if anything; nullopt when the thread
    /// shall end.
    std::optional<std::vector<consensus::effect>> take_after(std::chrono::milliseconds delay);
    /// Logs the beginning and the end of a time in which the disk is full.
    static void report_fullness(bool was_full, const std::optional<base::failure>& cause);

    std::unique_ptr<consensus::file_storage> m_storage;
    done_handler m_done;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<consensus::effect> m_queue; // guarded by m_mutex
    bool m_stopping = false;                // guarded by m_mutex
    std::thread m_thread;
};

} // namespace damaskladder::daemon
