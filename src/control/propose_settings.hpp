#pragma once

#include "base/settings_version.hpp"
#include "base/time.hpp"
#include "control/command_header.hpp"
#include "control/settings_edit.hpp"
#include "settings/setting_path.hpp"

namespace damaskladder::control {

/// Proposes a change that takes effect once it is approved.
struct propose_settings {
    command_header header;
    settings::setting_path subtree;
    base::settings_version based_on;
    settings_edit edit;
    /// Log time after which the proposal expires; 1 min to 30 days.
    base::duration lifetime = std::chrono::hours(24 * 7);

    friend bool operator==(const propose_settings&, const propose_settings&) = default;
};

} // namespace damaskladder::control
