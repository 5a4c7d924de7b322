#include "control/proposal_state.hpp"

namespace damaskladder::control {

std::string_view to_string(proposal_state state)
{
    switch (state) {
    case proposal_state::pending:
        return "pending";
    case proposal_state::approved:
        return "approved";
    case proposal_state::refused:
        return "refused";
    case proposal_state::expired:
        return "expired";
    case proposal_state::conflict:
        return "conflict";
    }
    return "unknown";
}

} // namespace damaskladder::control
