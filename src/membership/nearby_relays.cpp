#include "membership/nearby_relays.hpp"

namespace damaskladder::membership {

std::vector<endpoint> nearby_relays(const member_table& members,
                                    const base::failure_domain_id& location, std::size_t count)
{
    std::vector<endpoint> found;
    for (const member_record& record : members.records()) {
        if (found.size() == count) {
            break;
        }
        if (record.status == member_status::alive && record.location() == location) {
            found.push_back({record.node, record.messages});
        }
    }
    return found;
}

} // namespace damaskladder::membership
