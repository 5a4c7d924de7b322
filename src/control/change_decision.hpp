#pragma once

#include "control/change_effect.hpp"
#include "control/change_reply.hpp"
#include "settings/setting_path.hpp"

#include <string>
#include <vector>

namespace damaskladder::control {

/// Reply to an operator's command and the effects to apply. A refusal has no effects.
struct change_decision {
    change_reply reply;
    std::vector<change_effect> effects;
    /// Path and note of the audit record.
    settings::setting_path subject;
    std::string note;
};

} // namespace damaskladder::control
