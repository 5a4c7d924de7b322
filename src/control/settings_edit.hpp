#pragma once

#include "settings/setting_diff.hpp"
#include "settings/setting_tree.hpp"

#include <variant>

namespace damaskladder::control {

/// New content of a subtree: a difference, or the complete set of entries.
using settings_edit = std::variant<settings::setting_diff, settings::setting_tree>;

} // namespace damaskladder::control
