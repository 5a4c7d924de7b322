#include "consensus/requests_admission.hpp"

namespace damaskladder::consensus {

bool requests_admission(const replica_status& status)
{
    const member* present = status.members.find(status.identity.id);
    const bool is_member = present != nullptr && present->identity == status.identity;
    return !is_member || !status.known_leader;
}

} // namespace damaskladder::consensus
