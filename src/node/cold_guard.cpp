#include "node/cold_guard.hpp"

#include <algorithm>

namespace damaskladder::node {

void cold_guard::update(const local_backend_server& server, base::time_point node_started)
{
    m_limit.set(server.cold_burst, node_started);
    m_cold_until = server.cold_until;
    m_announced_at = server.announced_at;
}

void cold_guard::state_unknown(base::time_point now)
{
    m_unknown_since = std::max(m_unknown_since, now);
}

bool cold_guard::is_cold(base::time_point now) const
{
    return m_limit.is_set() && (now < m_cold_until || m_announced_at <= m_unknown_since);
}

bool cold_guard::allows(base::importance level, base::time_point now) const
{
    return !is_cold(now) || m_limit.allows(level, now);
}

double cold_guard::used_share(base::time_point now) const
{
    return is_cold(now) ? m_limit.used_share(now) : 0;
}

} // namespace damaskladder::node
