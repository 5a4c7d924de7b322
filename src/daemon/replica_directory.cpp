#include "daemon/replica_directory.hpp"

#include <algorithm>

namespace damaskladder::daemon {

namespace {

const propagation::peer* find(const std::vector<propagation::peer>& peers,
                              const base::node_id& node)
{
    const auto found = std::find_if(peers.begin(), peers.end(), [&](const propagation::peer& each) {
        return each.node == node;
    });
    return found == peers.end() ? nullptr : &*found;
}

} // namespace

bool replica_directory::update(const propagation::replica_list& members)
{
    const bool is_newer = members.version > m_members.version;
    if (is_newer) {
        m_members = members;
    }
    return is_newer;
}

std::vector<propagation::peer> replica_directory::others() const
{
    std::vector<propagation::peer> all = m_members.replicas;
    for (const auto& [name, address] : m_settings.replicas) {
        if (find(all, name) == nullptr) {
            all.push_back({name, base::message_address(to_string(address))});
        }
    }
    std::erase_if(all, [&](const propagation::peer& each) { return each.node == m_settings.name; });
    return all;
}

bool replica_directory::contains(const base::node_id& replica) const
{
    return find(m_members.replicas, replica) != nullptr || m_settings.replicas.contains(replica);
}

std::optional<base::message_address>
replica_directory::address_of(const base::node_id& replica) const
{
    if (const auto* member = find(m_members.replicas, replica)) {
        return member->address;
    }
    const auto listed = m_settings.replicas.find(replica);
    if (listed != m_settings.replicas.end()) {
        return base::message_address(to_string(listed->second));
    }
    if (m_settings.discovers_replicas) {
        const http::address discovered{replica.value(), m_settings.messages_port};
        return base::message_address(to_string(discovered));
    }
    return std::nullopt;
}

} // namespace damaskladder::daemon
