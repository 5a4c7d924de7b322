#pragma once

#include "settings/setting_entry.hpp"
#include "settings/setting_path.hpp"
#include "settings/setting_reference.hpp"

#include <vector>

namespace damaskladder::settings {

/// The names that one entry defines for others, and those that it uses.
struct entry_references {
    std::vector<setting_reference> defined;
    std::vector<setting_reference> used;
};

/// Malformed values count as no reference.
entry_references references_of(const setting_path& path, const setting_entry& entry);

} // namespace damaskladder::settings
