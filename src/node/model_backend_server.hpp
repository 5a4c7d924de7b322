#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_set>
#include <utility>

namespace damaskladder::node {

/// For tests: a backend server with a fixed number of slots. Further jobs wait in a FIFO queue.
class model_backend_server {
public:
    using run_job = std::function<void(std::uint64_t job)>;

    model_backend_server(int slots, run_job run) : m_slots(slots), m_run(std::move(run)) {}

    void add(std::uint64_t job)
    {
        m_waiting.push_back(job);
        start_more();
    }

    /// Removes a job that ended or was cancelled.
    void remove(std::uint64_t job)
    {
        if (m_running.erase(job) == 0) {
            m_cancelled.insert(job);
        }
        start_more();
    }

    bool runs(std::uint64_t job) const { return m_running.count(job) != 0; }

private:
    void start_more()
    {
        while (!m_waiting.empty() && static_cast<int>(m_running.size()) < m_slots) {
            const auto job = m_waiting.front();
            m_waiting.pop_front();
            if (m_cancelled.erase(job) == 0) {
                m_running.insert(job);
                m_run(job);
            }
        }
    }

    int m_slots;
    run_job m_run;
    std::deque<std::uint64_t> m_waiting;
    std::unordered_set<std::uint64_t> m_running;
    /// Jobs that were cancelled while they waited.
    std::unordered_set<std::uint64_t> m_cancelled;
};

} // namespace damaskladder::node
