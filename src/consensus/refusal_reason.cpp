#include "consensus/refusal_reason.hpp"

namespace damaskladder::consensus {

std::string_view to_string(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::not_leader:
        return "not_leader";
    case refusal_reason::leadership_lost:
        return "leadership_lost";
    case refusal_reason::transferring:
        return "transferring";
    case refusal_reason::too_large:
        return "too_large";
    case refusal_reason::overloaded:
        return "overloaded";
    case refusal_reason::change_in_progress:
        return "change_in_progress";
    case refusal_reason::not_a_member:
        return "not_a_member";
    case refusal_reason::already_a_member:
        return "already_a_member";
    case refusal_reason::last_voter:
        return "last_voter";
    case refusal_reason::would_lose_quorum:
        return "would_lose_quorum";
    case refusal_reason::too_many_members:
        return "too_many_members";
    case refusal_reason::invalid_identity:
        return "invalid_identity";
    case refusal_reason::storage_failed:
        return "storage_failed";
    }
    return "unknown";
}

} // namespace damaskladder::consensus
