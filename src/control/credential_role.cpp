#include "control/credential_role.hpp"

namespace damaskladder::control {

std::string_view to_string(credential_role role)
{
    switch (role) {
    case credential_role::admin:
        return "admin";
    case credential_role::team:
        return "team";
    case credential_role::reviewer:
        return "reviewer";
    }
    return "unknown";
}

} // namespace damaskladder::control
