#pragma once

#include "settings/entry_kind.hpp"
#include "settings/field_rule.hpp"
#include "settings/setting_entry.hpp"
#include "settings/settings_problem.hpp"

#include <span>

namespace damaskladder::settings {

/// Rules for the fields of an entry of this kind.
std::span<const field_rule> rules_of(entry_kind kind);

/// Checks one entry in isolation: path, field names, formats, bounds, required fields and
/// contradictions between fields. checked_settings checks references to other entries.
settings_problems check_entry(const setting_path& path, const setting_entry& entry);

} // namespace damaskladder::settings
