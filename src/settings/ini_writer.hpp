#pragma once

#include "settings/setting_tree.hpp"

#include <string>

namespace damaskladder::settings {

/// Formats the tree as an INI text that read_ini parses into the same entries, provided that the
/// tree passed checked_settings. Long lists continue on indented lines.
std::string write_ini(const setting_tree& tree);

} // namespace damaskladder::settings
