#pragma once

#include "control/command_header.hpp"
#include "control/proposal_id.hpp"
#include "settings/setting_diff.hpp"
#include "settings/setting_path.hpp"

namespace damaskladder::control {

/// Puts a checked difference into force.
struct apply_diff_effect {
    /// "fleet" or "teams/TEAM".
    settings::setting_path versioned_root;
    /// Author of the change, which need not be the one who approved it.
    command_header origin;
    proposal_id proposal;
    settings::setting_diff diff;
};

} // namespace damaskladder::control
