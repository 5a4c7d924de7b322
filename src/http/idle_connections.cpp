#include "http/idle_connections.hpp"

#include "http/client_connection.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::http {

idle_connections::connection_ptr idle_connections::take(const address& peer, base::time_point now)
{
    const auto found = m_by_peer.find(peer);
    if (found == m_by_peer.end() || found->second.empty() ||
        found->second.back()->idle_deadline() <= now) {
        return nullptr;
    }
    auto taken = std::move(found->second.back());
    found->second.pop_back();
    --m_size;
    return taken;
}

void idle_connections::put(connection_ptr connection)
{
    m_by_peer[connection->peer()].push_back(std::move(connection));
    ++m_size;
}

void idle_connections::remove(const client_connection& closed)
{
    const auto found = m_by_peer.find(closed.peer());
    if (found != m_by_peer.end()) {
        m_size -= std::erase_if(found->second,
                                [&](const connection_ptr& kept) { return kept.get() == &closed; });
    }
}

std::vector<idle_connections::connection_ptr> idle_connections::take_expired(base::time_point now)
{
    std::vector<connection_ptr> expired;
    for (auto item = m_by_peer.begin(); item != m_by_peer.end();) {
        auto& kept = item->second;
        const auto first =
            std::stable_partition(kept.begin(), kept.end(), [&](const connection_ptr& each) {
                return each->idle_deadline() > now;
            });
        expired.insert(expired.end(), first, kept.end());
        kept.erase(first, kept.end());
        item = kept.empty() ? m_by_peer.erase(item) : std::next(item);
    }
    m_size -= expired.size();
    return expired;
}

} // namespace damaskladder::http
