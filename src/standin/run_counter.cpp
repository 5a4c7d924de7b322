#include "standin/run_counter.hpp"

namespace damaskladder::standin {

void run_counter::count(const base::request_id& request)
{
    ++m_runs;
    if (request.value().empty()) {
        return;
    }
    if (++m_by_request[request] > 1) {
        ++m_duplicates;
    }
}

std::uint64_t run_counter::runs_of(const base::request_id& request) const
{
    const auto found = m_by_request.find(request);
    return found == m_by_request.end() ? 0 : found->second;
}

} // namespace damaskladder::standin
