#include "membership/service_view.hpp"

namespace damaskladder::membership {

void service_view::add(const member_record& member, reachability reach)
{
    if (member.status != member_status::alive) {
        return;
    }
    for (const backend_server& backend : member.backends) {
        m_services[backend.service].push_back({member.node, member.incarnation, member.location(),
                                               member.messages, member.traffic, reach, member.load,
                                               backend});
    }
}

const std::vector<service_endpoint>& service_view::endpoints(const base::service_id& service) const
{
    auto found = m_services.find(service);
    return found == m_services.end() ? m_empty : found->second;
}

std::vector<base::service_id> service_view::services() const
{
    std::vector<base::service_id> names;
    names.reserve(m_services.size());
    for (const auto& item : m_services) {
        names.push_back(item.first);
    }
    return names;
}

} // namespace damaskladder::membership
