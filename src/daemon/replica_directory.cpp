#include "daemon/replica_directory.hpp"

#include <algorithm>

namespace damaskladder::daemon {

namespace {

bool names(const std::vector<propagation::peer>& peers, const base::node_id& node)
{
    return std::any_of(peers.begin(), peers.end(),
                       [&](const propagation::peer& each) { return each.node == node; });
}

} // namespace

void replica_directory::update(const propagation::replica_list& members)
{
    if (members.version > m_members.version) {
        m_members = members;
    }
}

std::vector<propagation::peer> replica_directory::others() const
{
    std::vector<propagation::peer> all = m_members.replicas;
    for (const auto& [name, address] : m_settings.replicas) {
        if (!names(all, name)) {
            all.push_back({name, base::message_address(to_string(address))});
        }
    }
    std::erase_if(all, [&](const propagation::peer& each) { return each.node == m_settings.name; });
    return all;
}

bool replica_directory::contains(const base::node_id& replica) const
{
    return names(m_members.replicas, replica) || m_settings.replicas.contains(replica);
}

std::optional<http::address> replica_directory::address_of(const base::node_id& replica) const
{
    const auto listed = m_settings.replicas.find(replica);
    if (listed != m_settings.replicas.end()) {
        return listed->second;
    }
    if (m_settings.discovers_replicas) {
        return http::address{replica.value(), m_settings.messages_port};
    }
    return std::nullopt;
}

} // namespace damaskladder::daemon
