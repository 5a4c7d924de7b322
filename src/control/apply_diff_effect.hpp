#pragma once

#include "control/command_header.hpp"
#include "control/proposal_id.hpp"
#include "settings/setting_diff.hpp"
#include "settings/setting_path.hpp"

namespace damaskladder::control {

/// Applies a validated difference to the settings.
struct apply_diff_effect {
    /// "fleet" or "teams/TEAM".
    settings::setting_path versioned_root;
    /// Header of the original change; its author need not be the operator who approved it.
    command_header origin;
    proposal_id proposal;
    settings::setting_diff diff;
};

} // namespace damaskladder::control
