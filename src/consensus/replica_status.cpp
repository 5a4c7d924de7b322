#include "consensus/replica_status.hpp"

#include <algorithm>

namespace damaskladder::consensus {

namespace {

const member_contact* find_contact(const replica_status& status, const replica_id& id)
{
    const auto found = std::find_if(status.contacts.begin(), status.contacts.end(),
                                    [&](const auto& contact) { return contact.id == id; });
    return found == status.contacts.end() ? nullptr : &*found;
}

} // namespace

std::optional<base::time_point> replica_status::last_heard(const replica_id& id) const
{
    const auto* found = find_contact(*this, id);
    return found == nullptr ? std::nullopt : std::optional(found->last_heard);
}

bool replica_status::has_caught_up(const replica_id& id) const
{
    const auto* found = find_contact(*this, id);
    return found != nullptr && found->caught_up;
}

} // namespace damaskladder::consensus
