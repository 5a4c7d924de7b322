#pragma once

#include "base/settings_version.hpp"
#include "base/time.hpp"
#include "control/command_header.hpp"
#include "control/proposal_id.hpp"
#include "control/proposal_state.hpp"
#include "settings/setting_diff.hpp"
#include "settings/setting_path.hpp"

#include <string>

namespace damaskladder::control {

/// A proposed change, pending or closed.
struct proposal {
    proposal_id id;
    command_header header;
    settings::setting_path subtree;
    base::settings_version based_on;
    settings::setting_diff diff;
    /// In log time.
    base::wall_time expires;
    proposal_state state = proposal_state::pending;
    /// Operator who closed the proposal, and the reason; both empty if it expired or became a
    /// conflict.
    base::operator_id closed_by;
    std::string reason;

    friend bool operator==(const proposal&, const proposal&) = default;
};

} // namespace damaskladder::control
