#pragma once

#include "base/request_id.hpp"

#include <cstdint>
#include <unordered_map>

namespace damaskladder::standin {

/// Counts runs by request id, so that a test can check how often each request ran independently of
/// the system under test.
class run_counter {
public:
    void count(const base::request_id& request);

    std::uint64_t runs() const { return m_runs; }
    std::uint64_t runs_of(const base::request_id& request) const;
    /// Runs beyond the first one, summed over all request ids.
    std::uint64_t duplicates() const { return m_duplicates; }

private:
    std::unordered_map<base::request_id, std::uint64_t> m_by_request;
    std::uint64_t m_runs = 0;
    std::uint64_t m_duplicates = 0;
};

} // namespace damaskladder::standin
