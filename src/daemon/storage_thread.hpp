#pragma once

#include "consensus/file_storage.hpp"
#include "consensus/persistence_queue.hpp"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace damaskladder::daemon {

/// Writes and syncs the log of a control replica on a separate thread, so that a slow disk does not
/// block the control thread. Effects that arrive during a sync are written together with the next
/// one.
class storage_thread {
public:
    /// done is called on the storage thread with sync_completed or storage_failed.
    using done_handler = std::function<void(consensus::event)>;

    storage_thread(std::unique_ptr<consensus::file_storage> storage, done_handler done);
    /// Writes the queued effects and joins the thread.
    ~storage_thread();
    storage_thread(const storage_thread&) = delete;
    storage_thread& operator=(const storage_thread&) = delete;

    /// Queues a persist effect. Thread-safe.
    void add(consensus::effect wanted);

private:
    void run();

    std::unique_ptr<consensus::file_storage> m_storage;
    done_handler m_done;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<consensus::effect> m_queue; // guarded by m_mutex
    bool m_stopping = false;                // guarded by m_mutex
    std::thread m_thread;
};

} // namespace damaskladder::daemon
