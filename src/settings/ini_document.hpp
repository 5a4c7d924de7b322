#pragma once

#include "settings/setting_tree.hpp"
#include "settings/settings_problem.hpp"
#include "settings/source_lines.hpp"

namespace damaskladder::settings {

/// Result of reading an INI text. The tree is complete only if there are no problems.
struct ini_document {
    setting_tree tree;
    source_lines lines;
    settings_problems problems;
};

} // namespace damaskladder::settings
