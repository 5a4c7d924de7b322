#include "daemon/storage_thread.hpp"

namespace damaskladder::daemon {

storage_thread::storage_thread(std::unique_ptr<consensus::file_storage> storage, done_handler done)
    : m_storage(std::move(storage)), m_done(std::move(done)), m_thread([this] { run(); })
{
}

storage_thread::~storage_thread()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_one();
    m_thread.join();
}

void storage_thread::add(consensus::effect wanted)
{
    {
        const std::lock_guard lock(m_mutex);
        m_queue.push_back(std::move(wanted));
    }
    m_changed.notify_one();
}

void storage_thread::run()
{
    consensus::persistence_queue queue(m_storage->hooks());
    for (;;) {
        std::vector<consensus::effect> batch;
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
            if (m_queue.empty()) {
                return;
            }
            batch.swap(m_queue);
        }
        for (auto& wanted : batch) {
            queue.add(wanted);
        }
        if (!queue.empty()) {
            m_done(queue.flush());
        }
    }
}

} // namespace damaskladder::daemon
