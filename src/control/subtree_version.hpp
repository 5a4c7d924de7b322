#pragma once

#include "base/settings_version.hpp"
#include "settings/setting_path.hpp"

namespace damaskladder::control {

/// Current version of "fleet" or "teams/TEAM".
struct subtree_version {
    settings::setting_path versioned_root;
    base::settings_version version;
};

} // namespace damaskladder::control
