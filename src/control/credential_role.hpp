#pragma once

#include <cstdint>
#include <string_view>

namespace damaskladder::control {

/// What an operator may do within the subtree of the credential.
enum class credential_role : std::uint8_t {
    /// Change settings, and manage credentials if the subtree is the root.
    admin,
    /// Change settings.
    team,
    /// Approve and refuse proposals. Other operators' changes then need approval.
    reviewer,
};

std::string_view to_string(credential_role role);

} // namespace damaskladder::control
