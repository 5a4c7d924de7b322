#pragma once

#include "base/operator_id.hpp"
#include "control/credential_role.hpp"
#include "control/token_hash.hpp"
#include "settings/setting_path.hpp"

namespace damaskladder::control {

/// An operator's access to a subtree of the settings.
struct credential {
    base::operator_id name;
    credential_role role = credential_role::team;
    /// The default is the root, that is all settings.
    settings::setting_path subtree;
    token_hash token;

    friend bool operator==(const credential&, const credential&) = default;
};

} // namespace damaskladder::control
