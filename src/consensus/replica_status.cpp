#include "consensus/replica_status.hpp"

#include <algorithm>

namespace damaskladder::consensus {

std::optional<base::time_point> replica_status::last_heard(const replica_id& id) const
{
    const auto found = std::find_if(contacts.begin(), contacts.end(),
                                    [&](const auto& contact) { return contact.id == id; });
    return found == contacts.end() ? std::nullopt : std::optional(found->last_heard);
}

} // namespace damaskladder::consensus
