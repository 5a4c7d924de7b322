#include "consensus/replica_role.hpp"

namespace damaskladder::consensus {

std::string_view to_string(replica_role role)
{
    switch (role) {
    case replica_role::follower:
        return "follower";
    case replica_role::pre_candidate:
        return "pre_candidate";
    case replica_role::candidate:
        return "candidate";
    case replica_role::leader:
        return "leader";
    case replica_role::halted:
        return "halted";
    }
    return "unknown";
}

} // namespace damaskladder::consensus
