#include "node/deadline_set.hpp"

namespace damaskladder::node {

void deadline_set::set(exchange_id exchange, base::time_point at)
{
    erase(exchange);
    m_times[exchange] = at;
    m_by_time.emplace(at, exchange);
}

void deadline_set::erase(exchange_id exchange)
{
    auto found = m_times.find(exchange);
    if (found != m_times.end()) {
        m_by_time.erase({found->second, exchange});
        m_times.erase(found);
    }
}

std::optional<exchange_id> deadline_set::take_due(base::time_point now)
{
    if (m_by_time.empty() || m_by_time.begin()->first > now) {
        return std::nullopt;
    }
    const exchange_id exchange = m_by_time.begin()->second;
    erase(exchange);
    return exchange;
}

std::optional<base::time_point> deadline_set::earliest() const
{
    if (m_by_time.empty()) {
        return std::nullopt;
    }
    return m_by_time.begin()->first;
}

} // namespace damaskladder::node
