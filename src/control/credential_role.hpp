#pragma once

#include <cstdint>
#include <string_view>

namespace damaskladder::control {

/// Permissions of an operator within the credential's subtree.
enum class credential_role : std::uint8_t {
    /// May change settings, and may manage credentials if the subtree is the root.
    admin,
    /// May change settings.
    team,
    /// May approve and refuse proposals. Changes by other operators then need approval.
    reviewer,
};

std::string_view to_string(credential_role role);

} // namespace damaskladder::control
