#pragma once

#include "settings/setting_entry.hpp"
#include "settings/setting_path.hpp"
#include "settings/setting_reference.hpp"

#include <vector>

namespace damaskladder::settings {

/// Names that an entry defines and names that it uses.
struct entry_references {
    std::vector<setting_reference> defined;
    std::vector<setting_reference> used;
};

/// Extracts the references of an entry; malformed values are skipped.
entry_references references_of(const setting_path& path, const setting_entry& entry);

} // namespace damaskladder::settings
