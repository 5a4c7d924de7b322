#include "consensus/persist_tracker.hpp"

#include <algorithm>

namespace damaskladder::consensus {

persist_token persist_tracker::issue()
{
    m_issued = persist_token(m_issued.value() + 1);
    return m_issued;
}

persist_token persist_tracker::issue_entries(log_index first, log_index last, base::byte_count size)
{
    discard_after(index_before(first));
    const persist_token token = issue();
    m_unsynced.push_back({token, last, size});
    m_unsynced_size += size;
    return token;
}

persist_token persist_tracker::issue_snapshot(log_index last)
{
    const persist_token token = issue();
    m_unsynced.push_back({token, last});
    return token;
}

void persist_tracker::discard_after(log_index last)
{
    m_synced_index = std::min(m_synced_index, last);
    for (unsynced_write& write : m_unsynced) {
        write.last_index = std::min(write.last_index, last);
    }
}

void persist_tracker::complete(persist_token token)
{
    if (token > m_issued) {
        return;
    }
    m_synced = std::max(m_synced, token);
    while (!m_unsynced.empty() && m_unsynced.front().token <= token) {
        m_synced_index = std::max(m_synced_index, m_unsynced.front().last_index);
        m_unsynced_size -= m_unsynced.front().size;
        m_unsynced.pop_front();
    }
}

} // namespace damaskladder::consensus
