#pragma once

#include "control/change_verdict.hpp"
#include "control/set_evacuation.hpp"
#include "settings/setting_diff.hpp"
#include "settings/setting_tree.hpp"
#include "settings/settings_problem.hpp"

namespace damaskladder::control {

/// What an evacuation order changes, if its author may give it.
struct evacuation_plan {
    /// accepted, unchanged, not_found or last_domain.
    change_verdict verdict = change_verdict::unchanged;
    settings::setting_diff diff;
    settings::settings_problems problems;
};

/// \param path entry of the domain's evacuation.
evacuation_plan plan_evacuation(const settings::setting_tree& tree,
                                const settings::setting_path& path, const set_evacuation& order);

} // namespace damaskladder::control
