#pragma once

#include "base/change_id.hpp"
#include "base/operator_id.hpp"
#include "base/settings_version.hpp"
#include "base/time.hpp"
#include "control/proposal_id.hpp"
#include "settings/setting_diff.hpp"
#include "settings/setting_path.hpp"

namespace damaskladder::control {

/// An accepted change and the settings version that it created.
struct version_record {
    base::settings_version version;
    /// "fleet" or "teams/TEAM".
    settings::setting_path versioned_root;
    base::operator_id author;
    base::change_id change;
    base::wall_time when;
    /// 0 if the change was not proposed.
    proposal_id proposal;
    settings::setting_diff diff;

    friend bool operator==(const version_record&, const version_record&) = default;
};

} // namespace damaskladder::control
