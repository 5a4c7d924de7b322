#include "consensus/configuration.hpp"

namespace damaskladder::consensus {

const member* configuration::find(const replica_id& replica) const
{
    for (const member& candidate : members) {
        if (candidate.identity.id == replica) {
            return &candidate;
        }
    }
    return nullptr;
}

bool configuration::is_voter(const replica_identity& identity) const
{
    const member* found = find(identity.id);
    return found != nullptr && found->identity == identity && found->role == member_role::voter;
}

std::size_t configuration::voter_count() const
{
    std::size_t count = 0;
    for (const member& candidate : members) {
        count += candidate.role == member_role::voter ? 1 : 0;
    }
    return count;
}

} // namespace damaskladder::consensus
