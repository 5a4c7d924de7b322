#include "daemon/storage_thread.hpp"

#include "daemon/log.hpp"

#include <utility>

namespace damaskladder::daemon {

namespace {

/// Interval at which writes are attempted again while the disk is full.
constexpr std::chrono::milliseconds full_disk_retry_interval(100);

} // namespace

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
    bool full = false;
    for (;;) {
        auto batch = full ? take_after(full_disk_retry_interval) : take_next();
        if (!batch) {
            return;
        }
        for (auto& wanted : *batch) {
            queue.add(wanted);
        }
        if (queue.empty()) {
            continue;
        }
        if (auto done = queue.flush()) {
            m_done(std::move(*done));
        }
        report_fullness(full, queue.full_cause());
        full = queue.full_cause().has_value();
    }
}

std::optional<std::vector<consensus::effect>> storage_thread::take_next()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
    if (m_queue.empty()) {
        return std::nullopt;
    }
    return std::exchange(m_queue, {});
}

std::optional<std::vector<consensus::effect>>
storage_thread::take_after(std::chrono::milliseconds delay)
{
    std::unique_lock lock(m_mutex);
    if (m_changed.wait_for(lock, delay, [this] { return m_stopping; })) {
        return std::nullopt;
    }
    return std::exchange(m_queue, {});
}

void storage_thread::report_fullness(bool was_full, const std::optional<base::failure>& cause)
{
    if (cause && !was_full) {
        log_failure(log_level::error, "disk_full", *cause);
    }
    else if (!cause && was_full) {
        log(log_level::info, "disk_has_room");
    }
}

} // namespace damaskladder::daemon
