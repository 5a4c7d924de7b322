#pragma once

#include "base/time.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>

namespace damaskladder::node {

/// For tests: a backend server with a fixed number of slots. More jobs wait inside, in order.
class model_backend_server {
public:
    using run_job = std::function<void(std::uint64_t job)>;

    model_backend_server(int slots, run_job run) : m_slots(slots), m_run(std::move(run)) {}

    void add(std::uint64_t job)
    {
        m_waiting.push_back(job);
        start_more();
    }

    /// The job ended or was cancelled.
    void remove(std::uint64_t job)
    {
        if (m_running.erase(job) == 0) {
            m_waiting.erase(std::remove(m_waiting.begin(), m_waiting.end(), job), m_waiting.end());
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
            m_running.emplace(job, true);
            m_run(job);
        }
    }

    int m_slots;
    run_job m_run;
    std::deque<std::uint64_t> m_waiting;
    std::unordered_map<std::uint64_t, bool> m_running;
};

} // namespace damaskladder::node
